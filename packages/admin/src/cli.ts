#!/usr/bin/env node
/** The program `galenaglade-admin`. */
import { resolveAdminSettings, runProgram } from "@galenaglade/settings";
import { createAdminProcess } from "./adminProcess.js";

await runProgram("galenaglade-admin", resolveAdminSettings, createAdminProcess);
