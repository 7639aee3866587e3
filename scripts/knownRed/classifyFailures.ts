/** One entry of the list of tests that fail for known faults. */
export interface KnownRed {
    /** Name of the test, as the runner prints it. */
    readonly test: string;
    /** The lines below it: command and seed, what was seen, the issue. */
    readonly entry: string;
}

/** What a run's failures come to. */
export interface FailureVerdict {
    readonly knownRed: readonly KnownRed[];
    readonly unexpectedFailures: readonly string[];
    /** Listed tests that did not fail. */
    readonly passed: readonly string[];
}

const testPrefix = "test: ";
const failedLine = /^not ok \d+ - (.*)$/;
/** Marks that the runner puts behind a name. */
const directive = / # (SKIP|TODO).*$/;

/**
 * Reads the list of known red tests: entries parted by empty lines, each beginning with `test: ` and its name.
 *
 * @param text - of the list
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
 * Finds the tests that failed in what the runner printed, in the Test Anything Protocol. Tests inside of tests are indented
 * and counted with the one around them.
 *
 * @param results - what it printed
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
 * @param failed - names of the tests that failed
 * @param known - the tests that may fail
 */
export function classifyFailures(failed: readonly string[], known: readonly KnownRed[]): FailureVerdict {
    const names = new Set(known.map(({ test }) => test));
    return {
        knownRed: known.filter(({ test }) => failed.includes(test)),
        unexpectedFailures: failed.filter(test => !names.has(test)),
        passed: known.map(({ test }) => test).filter(test => !failed.includes(test)),
    };
}
