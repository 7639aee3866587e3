import { type DidRun, type ErrorKind } from "@galenaglade/errors";
import { ambiguousStatuses, shedStatus } from "./constants.js";

/** How a backend server marks the end of its answer. */
export type ResponseFraming =
    | { readonly type: "length"; readonly bytes: number; }
    | { readonly type: "chunked"; }
    /** No body can follow: the answer to HEAD, 204, 304. */
    | { readonly type: "none"; }
    /** Ends with the connection, so that a cut can't be told from the end. */
    | { readonly type: "untilClose"; };

/** What an answer's head says. */
export interface ResponseHead {
    readonly status: number;
    /** Value of the did-run header, where the server sent one. */
    readonly didRunHeader: string | undefined;
    readonly framing: ResponseFraming;
}

/** How an attempt ended. */
export type AttemptEnd = "completed" | "connectFailed" | "closed" | "timedOut" | "aborted";

/** What may happen to one attempt on one connection. */
export type AttemptEvent =
    /** The next thing the process does is to give the connection the first byte; said before, never after. */
    | { readonly type: "handOver"; }
    | { readonly type: "headReceived"; readonly head: ResponseHead; }
    | { readonly type: "bodyReceived"; readonly bytes: number; }
    | { readonly type: "ended"; readonly end: AttemptEnd; };

/** One try of a request on one connection. */
export interface Attempt {
    readonly idempotent: boolean;
    readonly handedOver: boolean;
    readonly head: ResponseHead | undefined;
    readonly bodyBytes: number;
    readonly end: AttemptEnd | undefined;
}

/** What an attempt's end means. */
export interface AttemptOutcome {
    readonly didRun: DidRun;
    /** Whether another try can't make a non-idempotent request run twice, nor mix two answers. */
    readonly mayRetry: boolean;
    /** Whether the answer came to its declared end. */
    readonly whole: boolean;
    /** Why there is no whole answer; `undefined` where there is one to pass on. */
    readonly failure: ErrorKind | undefined;
}

/**
 * @param idempotent - whether running the request twice does no harm
 * @returns an attempt to which nothing has happened yet
 */
export function createAttempt(idempotent: boolean): Attempt {
    return Object.freeze({ idempotent, handedOver: false, head: undefined, bodyBytes: 0, end: undefined });
}

/**
 * @param attempt - the attempt so far
 * @param event - what happened
 * @returns the attempt after it; events that come after the end change nothing, since a late answer is nobody's
 */
export function advanceAttempt(attempt: Attempt, event: AttemptEvent): Attempt {
    if (attempt.end !== undefined) {
        return attempt;
    }
    switch (event.type) {
        case "handOver":
            return Object.freeze({ ...attempt, handedOver: true });
        case "headReceived":
            return Object.freeze({ ...attempt, head: event.head });
        case "bodyReceived":
            return Object.freeze({ ...attempt, bodyBytes: attempt.bodyBytes + event.bytes });
        case "ended":
            return Object.freeze({ ...attempt, end: event.end });
    }
}

/**
 * Says what is known of an attempt. It may be asked before the end, and then answers for a loss at this point.
 *
 * @param attempt - the attempt
 * @returns what can be said of it truthfully
 */
export function resolveAttempt(attempt: Attempt): AttemptOutcome {
    const didRun = resolveDidRun(attempt);
    const whole = isWhole(attempt);
    return Object.freeze({ didRun, whole, mayRetry: mayRetry(attempt, didRun), failure: findFailure(attempt, whole) });
}

function isShed(head: ResponseHead): boolean {
    return head.status === shedStatus && head.didRunHeader?.trim().toLowerCase() === "no";
}

/**
 * A request of which one byte has left may have run: the server can read and run it although its connection then
 * breaks, and the caller who is told otherwise files the return twice. Only the server's own word outweighs that.
 */
function resolveDidRun(attempt: Attempt): DidRun {
    if (!attempt.handedOver) {
        return "no";
    }
    if (attempt.head === undefined) {
        return "unknown";
    }
    if (isShed(attempt.head)) {
        return "no";
    }
    return ambiguousStatuses.includes(attempt.head.status) ? "unknown" : "yes";
}

function mayRetry(attempt: Attempt, didRun: DidRun): boolean {
    if (attempt.end === undefined || attempt.end === "aborted") {
        return false;
    }
    return didRun === "no" || (attempt.idempotent && attempt.head === undefined);
}

/**
 * A body shorter than declared looks like a shorter survey table, or half a catalog, to the caller. An answer that
 * ends with its connection can't be told from a cut one, so it never counts as whole.
 */
function isWhole(attempt: Attempt): boolean {
    if (attempt.end !== "completed" || attempt.head === undefined) {
        return false;
    }
    switch (attempt.head.framing.type) {
        case "length":
            return attempt.bodyBytes === attempt.head.framing.bytes;
        case "chunked":
            return true;
        case "none":
            return attempt.bodyBytes === 0;
        case "untilClose":
            return false;
    }
}

function findFailure(attempt: Attempt, whole: boolean): ErrorKind | undefined {
    if (attempt.head !== undefined && isShed(attempt.head)) {
        return "backendShed";
    }
    if (whole) {
        return undefined;
    }
    if (!attempt.handedOver) {
        return attempt.end === "timedOut" ? "patienceSpent" : "connectFailed";
    }
    if (attempt.end === "timedOut") {
        return "backendTimeout";
    }
    return attempt.head === undefined ? "connectionLost" : "truncatedAnswer";
}

/**
 * Joins what is known of several attempts into what may be said of the request. One attempt that may have run
 * weighs more than any number that did not: a try that was lost, followed by a try that was shed, is `unknown`.
 *
 * @param attempts - outcomes of every attempt of one request
 * @returns what may be said of the request
 */
export function combineDidRun(attempts: readonly Pick<AttemptOutcome, "didRun">[]): DidRun {
    let combined: DidRun = "no";
    for (const attempt of attempts) {
        if (attempt.didRun === "yes") {
            return "yes";
        }
        if (attempt.didRun === "unknown") {
            combined = "unknown";
        }
    }
    return combined;
}
