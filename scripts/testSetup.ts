/**
 * Loaded before each test file. Property-based tests use a fixed seed, so that a change always gets the same result;
 * `FAST_CHECK_SEED=N npm test` uses another one. A seed that reveals a fault is added to the test as an example.
 *
 * Tells the run when a file's tests have all ended and its process is about to: if the process stays all the same, that
 * is a failure of its own, and not one of tests that didn't run.
 */
import fc from "fast-check";
import { relative } from "node:path";
import { renderTestsEnded } from "./knownRed/classifyFailures.js";

const fixedSeed = 20_261_203;

fc.configureGlobal({ seed: Number(process.env["FAST_CHECK_SEED"] ?? fixedSeed) });

// Set by the test runner for the processes of files.
if (process.env["NODE_TEST_CONTEXT"] !== undefined) {
    // Not for a `process.exit` amid tests, which skips this event.
    process.once("beforeExit", () => {
        process.once("exit", () => {
            const file = relative(process.cwd(), process.argv[1] ?? "");
            process.stdout.write(`${renderTestsEnded(file)}\n`);
        });
    });
}
