#!/usr/bin/env node
/** The program `galenaglade-gateway`. */
import { resolveGatewaySettings, runProgram } from "@galenaglade/settings";
import { createGatewayProcess } from "./gatewayProcess.js";

await runProgram("galenaglade-gateway", resolveGatewaySettings, createGatewayProcess);
