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

test("the list names each test with what is known of it", () => {
    assert.deepEqual(parseKnownRed(list), [
        { test: "work of 5 ms: deciding is no worse", entry: "command: npm test\nseen: 0.39 against 0.45" },
        { test: "another one", entry: "command: npm test" },
    ]);
    assert.deepEqual(parseKnownRed(""), []);
});

test("failures are read at the top level, without what the runner doesn't count", () => {
    assert.deepEqual(parseFailedTests(results), ["work of 5 ms: deciding is no worse"]);
});

// A run in which one listed test and one other test fail must fail for the other one, or the list would hide new faults.
test("only listed tests may fail, and listed ones that pass are said", () => {
    const verdict = classifyFailures(["work of 5 ms: deciding is no worse", "new"], parseKnownRed(list));
    assert.deepEqual(verdict.knownRed.map(each => each.test), ["work of 5 ms: deciding is no worse"]);
    assert.deepEqual(verdict.unexpectedFailures, ["new"]);
    assert.deepEqual(verdict.passed, ["another one"]);
});
