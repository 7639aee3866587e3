import assert from "node:assert/strict";
import { test } from "node:test";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import {
    classifyFailures,
    type FailedTest,
    parseFailedTests,
    parseKnownRed,
    renderTestsEnded,
} from "../knownRed/classifyFailures.js";

const root = "/build/checkout";
const file = "packages/edge/src/__tests__/some.test.ts";

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
    assert.deepEqual(parseFailedTests(results, root), [
        { test: "work of 5 ms: deciding is no worse", isExcusable: true },
    ]);
});

// If a listed and another test fail, the run must fail because of the other one, or the list would hide new faults.
test("a failure of an unlisted test is unexpected, and listed tests that pass are reported", () => {
    const failed = ["work of 5 ms: deciding is no worse", "new"].map(test => ({ test, isExcusable: true }));
    const verdict = classifyFailures(failed, parseKnownRed(list));
    assert.deepEqual(verdict.knownRed.map(each => each.test), ["work of 5 ms: deciding is no worse"]);
    assert.deepEqual(verdict.unexpectedFailures, ["new"]);
    assert.deepEqual(verdict.passed, ["another one"]);
});

interface FileFailure {
    readonly failureType?: string;
    readonly hasEnded?: boolean;
    readonly failedTest?: string;
}

/** @returns what the test runner prints of a file whose process failed */
function renderFile({ failureType = "testTimeoutFailure", hasEnded = true, failedTest }: FileFailure): string {
    const lines = ["TAP version 13", "# Subtest: one", `${failedTest === undefined ? "" : "not "}ok 1 - one`];
    return [
        ...lines,
        "  ---",
        "  duration_ms: 3",
        "  ...",
        ...(hasEnded ? [`# ${renderTestsEnded(file)}`] : []),
        `# Subtest: ${root}/${file}`,
        `not ok 1 - ${root}/${file}`,
        "  ---",
        "  duration_ms: 240000",
        `  failureType: '${failureType}'`,
        "  error: 'test timed out after 240000ms'",
        "  ...",
        "1..2",
        "",
    ].join("\n");
}

const listedFile = parseKnownRed(`test: ${file}\ncommand: npm test\n`);

test("a file whose process didn't end after its tests is named by its path below the root, and can be listed", () => {
    const failed = parseFailedTests(renderFile({}), root);
    assert.deepEqual(failed, [{ test: file, isExcusable: true }]);
    assert.deepEqual(classifyFailures(failed, listedFile), {
        knownRed: listedFile,
        unexpectedFailures: [],
        passed: [],
    });
    assert.deepEqual(classifyFailures(failed, []).unexpectedFailures, [file]);
});

// An entry for a file must not hide a test.
test("an entry for a file excuses no test that failed within it", () => {
    const failed = parseFailedTests(renderFile({ failedTest: "one" }), root);
    assert.deepEqual(classifyFailures(failed, listedFile).unexpectedFailures, ["one"]);
});

test("an entry for a file excuses neither tests that may not have run nor another failure of its process", () => {
    for (const failure of [{ hasEnded: false }, { failureType: "testCodeFailure" }]) {
        const verdict = classifyFailures(parseFailedTests(renderFile(failure), root), listedFile);
        assert.deepEqual([verdict.knownRed, verdict.unexpectedFailures, verdict.passed], [[], [file], []]);
    }
});

/** Files by whether an entry may excuse their process. */
const hangingFiles = {
    "its process spins once its tests have ended": {
        text: `test("two", () => process.once("beforeExit", () => process.once("exit", () => { for (;;); })));`,
        isExcusable: true,
    },
    "a test hangs": {
        text: `test("two", async () => { setInterval(() => {}, 1_000); await new Promise(() => {}); });`,
        isExcusable: false,
    },
} as const;

for (const [name, { text, isExcusable }] of Object.entries(hangingFiles)) {
    // Guards against a test runner that prints a file that didn't end in another way.
    test(`a file in which ${name}: ${isExcusable ? "can" : "can't"} be listed`, async t => {
        const folder = await mkdtemp(join(tmpdir(), "known-red-"));
        t.after(() => rm(folder, { recursive: true }));
        const path = join(folder, "hang.test.mjs");
        await writeFile(path, `import { test } from "node:test";\ntest("one", () => {});\n${text}\n`);
        const args = ["--import", "tsx", "--import", "./scripts/testSetup.ts", "--test", "--test-timeout=8000", path];
        const env = { ...process.env };
        // The runner of this test sets it for its own files.
        delete env["NODE_TEST_CONTEXT"];
        const results = await new Promise<string>(resolve => {
            execFile(process.execPath, args, { env }, (_err, stdout) => resolve(stdout));
        });
        const expected: readonly FailedTest[] = [{ test: relative(process.cwd(), path), isExcusable }];
        assert.deepEqual(parseFailedTests(results, process.cwd()), expected, results);
    });
}
