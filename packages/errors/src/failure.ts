import { errorResponses, type DidRun, type ErrorKind } from "./errorKinds.js";

/** A failure as the libraries pass it, in the left side of an `Either`. */
export interface Failure {
    readonly kind: ErrorKind;
    /** What happened, for a person; never holds a caller's body, cookie or authorization. */
    readonly detail: string;
    /** Overrides the table's {@link DidRun} where more is known. */
    readonly didRun?: DidRun;
    /** Overrides the table's time to come back, in seconds. */
    readonly retryAfterSeconds?: number;
}

/**
 * Makes a failure.
 *
 * @param kind - one of the closed list
 * @param detail - what happened, for a person
 * @param more - what is known beyond the table
 * @returns a frozen failure
 */
export function createFailure(
    kind: ErrorKind,
    detail: string,
    more: Pick<Failure, "didRun" | "retryAfterSeconds"> = {},
): Failure {
    return Object.freeze({ kind, detail, ...more });
}

/** A failure with every blank filled from the table. */
export interface ResolvedFailure {
    readonly kind: ErrorKind;
    readonly detail: string;
    readonly title: string;
    readonly status: number;
    readonly didRun: DidRun;
    readonly retryAfterSeconds: number | undefined;
}

/**
 * Fills a failure's blanks from the table.
 *
 * @param failure - the failure
 * @returns what to answer
 */
export function resolveFailure(failure: Failure): ResolvedFailure {
    const answer = errorResponses[failure.kind];
    return Object.freeze({
        kind: failure.kind,
        detail: failure.detail,
        title: answer.title,
        status: answer.status,
        didRun: failure.didRun ?? answer.didRun,
        retryAfterSeconds: failure.retryAfterSeconds ?? answer.retryAfterSeconds,
    });
}

/** Carries a {@link Failure} through code that can only throw, such as a stream's destroy. */
export class FailureError extends Error {
    readonly failure: Failure;

    constructor(failure: Failure) {
        super(`${failure.kind}: ${failure.detail}`);
        this.name = "FailureError";
        this.failure = failure;
    }
}
