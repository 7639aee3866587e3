import { isAbsolute, relative } from "node:path";

/** An entry of the list of tests that fail because of known faults. */
export interface KnownRed {
    /** Name of the test, as printed by the test runner; path of the file below the root, if its process didn't end. */
    readonly test: string;
    /** The remaining lines of the entry: command and seed, observation, issue. */
    readonly entry: string;
}

/** A failure in a test run. */
export interface FailedTest {
    /** Name of a test; path below the root of a file whose process failed, besides its tests. */
    readonly test: string;
    /** Whether an entry of the list may excuse it. For a file, only if all of its tests ended and its process didn't. */
    readonly isExcusable: boolean;
}

/** The failures of a test run, compared with the list of known ones. */
export interface FailureVerdict {
    /** Listed tests that failed. */
    readonly knownRed: readonly KnownRed[];
    /** Failed tests that aren't listed. */
    readonly unexpectedFailures: readonly string[];
    /** Listed tests that didn't fail. */
    readonly passed: readonly string[];
}

const testPrefix = "test: ";
const failedLine = /^not ok \d+ - (.*)$/;
/** TAP directives that the test runner appends to a name. */
const directive = / # (SKIP|TODO).*$/;
const detailsEnd = "  ...";
const timeoutDetail = "  failureType: 'testTimeoutFailure'";

/** @returns the line that a test file's process writes once its tests have ended */
export function renderTestsEnded(file: string): string {
    return `all tests ended: ${file}`;
}

/**
 * Parses the list of known failures: entries separated by empty lines, each beginning with `test: ` and a test's name.
 *
 * @param text - text of the list
 * @returns the entries in their order
 */
export function parseKnownRed(text: string): readonly KnownRed[] {
    const found: KnownRed[] = [];
    for (const block of text.split(/\n\s*\n/)) {
        const lines = block.split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"));
        const [first = "", ...rest] = lines;
        if (first.startsWith(testPrefix)) {
            found.push({ test: first.slice(testPrefix.length).trim(), entry: rest.join("\n") });
        }
    }
    return found;
}

/**
 * Finds the failures in the output of the test runner, in the Test Anything Protocol. Subtests are indented and counted
 * as part of the test that contains them. A file is named by its absolute path if its process failed, besides its tests.
 *
 * @param results - output of the test runner
 * @param root - absolute path of the folder in which it ran
 * @returns the failed top-level tests and files
 */
export function parseFailedTests(results: string, root: string): readonly FailedTest[] {
    const lines = results.split("\n");
    const written = new Set(lines.map(line => line.replace(/^# /, "")));
    const failed: FailedTest[] = [];
    for (const [i, line] of lines.entries()) {
        const name = failedLine.exec(line)?.[1]?.replaceAll("\\#", "#");
        if (name === undefined || directive.test(name)) {
            continue;
        }
        if (!isAbsolute(name)) {
            failed.push({ test: name, isExcusable: true });
            continue;
        }
        const file = relative(root, name);
        const details = lines.slice(i + 1, Math.max(i + 1, lines.indexOf(detailsEnd, i)));
        const isExcusable = details.includes(timeoutDetail) && written.has(renderTestsEnded(file));
        failed.push({ test: file, isExcusable });
    }
    return failed;
}

/**
 * Classifies failures by the list of known ones.
 *
 * @param failed - the failures
 * @param known - tests that may fail, and files whose process may not end
 * @returns the known and the unexpected failures, and the listed tests that passed
 */
export function classifyFailures(failed: readonly FailedTest[], known: readonly KnownRed[]): FailureVerdict {
    const names = new Set(known.map(({ test }) => test));
    const excused = failed.filter(({ test, isExcusable }) => isExcusable && names.has(test));
    const excusedNames = new Set(excused.map(({ test }) => test));
    const failedNames = new Set(failed.map(({ test }) => test));
    return {
        knownRed: known.filter(({ test }) => excusedNames.has(test)),
        unexpectedFailures: failed.filter(each => !excused.includes(each)).map(({ test }) => test),
        passed: known.map(({ test }) => test).filter(test => !failedNames.has(test)),
    };
}
