/**
 * Compares the failures of a test run with KNOWN-RED.txt: `tsx scripts/knownRed.ts RESULTS`, where RESULTS is the
 * output of `npm test`. The tests that are listed there may fail because of known, open faults; any other failure fails
 * the run.
 */
import { existsSync, readFileSync } from "node:fs";
import { parseFailedTests, parseKnownRed, classifyFailures } from "./knownRed/classifyFailures.js";

const listPath = "KNOWN-RED.txt";

const results = readFileSync(process.argv[2] ?? "", "utf8");
const known = parseKnownRed(existsSync(listPath) ? readFileSync(listPath, "utf8") : "");
const verdict = classifyFailures(parseFailedTests(results, process.cwd()), known);
for (const { test, entry } of verdict.knownRed) {
    console.log(`known red: ${test}\n${entry}`);
}
for (const test of verdict.unexpectedFailures) {
    console.error(`failed: ${test}`);
}
for (const test of verdict.passed) {
    console.log(`listed in ${listPath}, but passed in this run: ${test}`);
}
// A failed run without a failed test was interrupted, or the test runner itself failed.
const passed = verdict.unexpectedFailures.length === 0 && verdict.knownRed.length > 0;
process.exitCode = passed ? 0 : 1;
