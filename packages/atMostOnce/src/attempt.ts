import { type DidRun, type ErrorKind } from "@galenaglade/errors";
import { ambiguousStatuses, shedStatus } from "./constants.js";

/** How a backend server delimits the body of its response. */
export type ResponseFraming =
    | { readonly type: "length"; readonly bytes: number; }
    | { readonly type: "chunked"; }
    /** No body can follow, as in a response to HEAD or with status 204 or 304. */
    | { readonly type: "none"; }
    /** Delimited by the end of the connection, so that a truncated body can't be detected. */
    | { readonly type: "untilClose"; };

/** Head of a response. */
export interface ResponseHead {
    readonly status: number;
    /** Value of the did-run header, if the server sent one. */
    readonly didRunHeader: string | undefined;
    readonly framing: ResponseFraming;
}

/** How an attempt ended. */
export type AttemptEnd = "completed" | "connectFailed" | "closed" | "timedOut" | "aborted";

/** Event of one attempt on one connection. */
export type AttemptEvent =
    /** The first byte is about to be written to the connection; always reported before the write, never after it. */
    | { readonly type: "handOver"; }
    | { readonly type: "headReceived"; readonly head: ResponseHead; }
    | { readonly type: "bodyReceived"; readonly bytes: number; }
    | { readonly type: "ended"; readonly end: AttemptEnd; };

/** State of one attempt of a request on one connection. */
export interface Attempt {
    readonly idempotent: boolean;
    readonly handedOver: boolean;
    readonly head: ResponseHead | undefined;
    readonly bodyBytes: number;
    readonly end: AttemptEnd | undefined;
}

/** Outcome of an attempt. */
export interface AttemptOutcome {
    readonly didRun: DidRun;
    /** Whether a retry can neither run a non-idempotent request twice nor mix two responses. */
    readonly mayRetry: boolean;
    /** Whether the response body was received in full. */
    readonly whole: boolean;
    /** Why there is no complete response; `undefined` if there is one to forward. */
    readonly failure: ErrorKind | undefined;
}

/**
 * @param idempotent - whether the request may safely run twice
 * @returns the initial state of an attempt
 */
export function createAttempt(idempotent: boolean): Attempt {
    return Object.freeze({ idempotent, handedOver: false, head: undefined, bodyBytes: 0, end: undefined });
}

/**
 * @param attempt - state of the attempt
 * @param event - the next event
 * @returns the state after the event; events after the end are ignored, since a late response has no recipient
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
 * Resolves the outcome of an attempt. Before the attempt's end, this is the outcome if the connection were lost now.
 *
 * @param attempt - state of the attempt
 * @returns the outcome
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
 * A request may have run once its first byte was sent, even if the connection then breaks; a caller that is told
 * otherwise would file the return twice. Only an explicit did-run header from the server rules that out.
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
 * To the caller, a truncated body looks like a shorter survey table or half a catalog. A response that is delimited by
 * the end of its connection can't be told from a truncated one, so it never counts as complete.
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
 * Combines the outcomes of several attempts of one request. One attempt that may have run outweighs any number that
 * did not: a lost attempt followed by one that was shed gives `unknown`.
 *
 * @param attempts - outcomes of all attempts of one request
 * @returns whether the request ran
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
