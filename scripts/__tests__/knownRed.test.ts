import assert from "node:assert/strict";
import { test } from "node:test";
import { parseFailedTests, parseKnownRed, classifyFailures } from "../knownRed/classifyFailures.js";

const list = `# Tests that fail for known faults.

test: work of 5 ms: deciding is no worse
command: npm test
seen: 0.39 against 0.45

test: another one
command: npm test
`;

const results = `TAP version 13
# Subtest: fine
ok 1 - fine
not ok 2 - work of 5 ms: deciding is no worse
  ---
  duration_ms: 3
    not ok 1 - inside of another
not ok 3 - later # TODO
# fail 1
`;

test("the list is parsed into tests and their entries", () => {
    assert.deepEqual(parseKnownRed(list), [
        { test: "work of 5 ms: deciding is no worse", entry: "command: npm test\nseen: 0.39 against 0.45" },
        { test: "another one", entry: "command: npm test" },
    ]);
    assert.deepEqual(parseKnownRed(""), []);
});

test("only failures of top-level tests count, and not those marked as TODO", () => {
    assert.deepEqual(parseFailedTests(results), ["work of 5 ms: deciding is no worse"]);
});

// If a listed and another test fail, the run must fail because of the other one, or the list would hide new faults.
test("a failure of an unlisted test is unexpected, and listed tests that pass are reported", () => {
    const verdict = classifyFailures(["work of 5 ms: deciding is no worse", "new"], parseKnownRed(list));
    assert.deepEqual(verdict.knownRed.map(each => each.test), ["work of 5 ms: deciding is no worse"]);
    assert.deepEqual(verdict.unexpectedFailures, ["new"]);
    assert.deepEqual(verdict.passed, ["another one"]);
});
