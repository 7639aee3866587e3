/** An entry of the list of tests that fail because of known faults. */
export interface KnownRed {
    /** Name of the test, as printed by the test runner. */
    readonly test: string;
    /** The remaining lines of the entry: command and seed, observation, issue. */
    readonly entry: string;
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
 * Finds the failed tests in the output of the test runner, in the Test Anything Protocol. Subtests are indented and
 * counted as part of the test that contains them.
 *
 * @param results - output of the test runner
 * @returns names of the failed top-level tests
 */
export function parseFailedTests(results: string): readonly string[] {
    const failed: string[] = [];
    for (const line of results.split("\n")) {
        const name = failedLine.exec(line)?.[1];
        if (name !== undefined && !directive.test(name)) {
            failed.push(name.replaceAll("\\#", "#"));
        }
    }
    return failed;
}

/**
 * Classifies failures by the list of known ones.
 *
 * @param failed - names of the failed tests
 * @param known - tests that may fail
 * @returns the known and the unexpected failures, and the listed tests that passed
 */
export function classifyFailures(failed: readonly string[], known: readonly KnownRed[]): FailureVerdict {
    const names = new Set(known.map(({ test }) => test));
    return {
        knownRed: known.filter(({ test }) => failed.includes(test)),
        unexpectedFailures: failed.filter(test => !names.has(test)),
        passed: known.map(({ test }) => test).filter(test => !failed.includes(test)),
    };
}
