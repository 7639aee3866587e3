#!/usr/bin/env node
/** Entry point of the operators' command-line interface, `galenaglade`. */
import { main } from "./main.js";

const interrupt = new AbortController();
process.once("SIGINT", () => interrupt.abort());
process.once("SIGTERM", () => interrupt.abort());

process.exitCode = await main({
    args: process.argv.slice(2),
    env: process.env,
    terminal: {
        out: line => process.stdout.write(`${line}\n`),
        err: line => process.stderr.write(`${line}\n`),
    },
    signal: interrupt.signal,
});
