import { errorResponses, type DidRun, type ErrorKind } from "./errorKinds.js";

/** A failure, passed as the left side of an `Either`. */
export interface Failure {
    readonly kind: ErrorKind;
    /** Human-readable description; must not contain a caller's body, cookies or credentials. */
    readonly detail: string;
    /** Overrides the default of the error kind if more is known. */
    readonly didRun?: DidRun;
    /** Overrides the default retry delay of the error kind, in seconds. */
    readonly retryAfterSeconds?: number;
}

/**
 * Creates a frozen failure.
 *
 * @param kind - the error kind
 * @param detail - human-readable description
 * @param more - overrides of the kind's defaults
 * @returns the failure
 */
export function createFailure(
    kind: ErrorKind,
    detail: string,
    more: Pick<Failure, "didRun" | "retryAfterSeconds"> = {},
): Failure {
    return Object.freeze({ kind, detail, ...more });
}

/** A failure with all defaults of its kind filled in. */
export interface ResolvedFailure {
    readonly kind: ErrorKind;
    readonly detail: string;
    readonly title: string;
    readonly status: number;
    readonly didRun: DidRun;
    readonly retryAfterSeconds: number | undefined;
}

/**
 * Fills in the defaults of a failure's kind.
 *
 * @param failure - the failure
 * @returns the complete failure for a response
 */
export function resolveFailure(failure: Failure): ResolvedFailure {
    const defaults = errorResponses[failure.kind];
    return Object.freeze({
        kind: failure.kind,
        detail: failure.detail,
        title: defaults.title,
        status: defaults.status,
        didRun: failure.didRun ?? defaults.didRun,
        retryAfterSeconds: failure.retryAfterSeconds ?? defaults.retryAfterSeconds,
    });
}

/** Statuses by which a caller may send a request again, even if it must not run twice. */
const retryableStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Tells whether a failure's response promises that the request has not run and won't run.
 *
 * @param failure - the failure
 * @returns whether a caller may take it for such a promise, by its status or by what it says
 */
export function isPromisedNotRun(failure: Failure): boolean {
    const { status, didRun } = resolveFailure(failure);
    return didRun === "no" || retryableStatuses.has(status);
}

/** Wraps a {@link Failure} for APIs that only accept an `Error`, such as a stream's `destroy`. */
export class FailureError extends Error {
    readonly failure: Failure;

    constructor(failure: Failure) {
        super(`${failure.kind}: ${failure.detail}`);
        this.name = "FailureError";
        this.failure = failure;
    }
}
