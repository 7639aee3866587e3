import { Code, ConnectError } from "@connectrpc/connect";
import { type ErrorKind, errorKinds } from "@galenaglade/errors";
import { type Failure as FailureMessage, FailureSchema } from "@galenaglade/schema";
import { type ExitCode, exitCodes } from "./exitCodes.js";

/** Why a call failed, as far as it is known here. */
export interface CallError {
    /** `undefined` where no answer of the operators' server came: the call may have taken effect. */
    readonly kind: ErrorKind | undefined;
    readonly detail: string;
    /** Sending the same call again may help. */
    readonly retryable: boolean;
    readonly retryAfterMs: number | undefined;
    readonly presentRevision: number | undefined;
}

/** Failures after which the same call, with the same change id, may well succeed. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([
    "storeUnavailable",
    "storeOutcomeUnknown",
    "storeRateLimited",
    "overloaded",
    "stopping",
    "peerUnreachable",
]);

/** What the protocol's library says where no answer came; the server's own answers carry a Failure message. */
const unansweredCodes: ReadonlySet<Code> = new Set([
    Code.Unavailable,
    Code.Aborted,
    Code.DeadlineExceeded,
    Code.Canceled,
    Code.Unknown,
    Code.Internal,
]);

/** Codes of refusals that the server makes before it looks into a call, so without a Failure message. */
const kindsOfCodes = new Map<Code, ErrorKind>([
    [Code.Unauthenticated, "unauthenticated"],
    [Code.ResourceExhausted, "bodyTooLarge"],
    [Code.InvalidArgument, "badRequest"],
]);

/**
 * Finds out what an error means for the call.
 *
 * @param err - what the client threw
 * @returns why the call failed
 */
export function toCallError(err: unknown): CallError {
    const error = ConnectError.from(err);
    const failure = error.findDetails(FailureSchema)[0];
    const kind = failure === undefined ? kindsOfCodes.get(error.code) : toKind(failure);
    return {
        kind,
        detail: error.rawMessage,
        retryable: kind === undefined ? unansweredCodes.has(error.code) : retryableKinds.has(kind),
        retryAfterMs: failure?.retryAfterSeconds === undefined ? undefined : failure.retryAfterSeconds * 1_000,
        presentRevision: failure?.presentRevision,
    };
}

/** A kind that only a newer server knows counts as `internal`. */
function toKind(failure: FailureMessage): ErrorKind {
    return errorKinds.find(kind => kind === failure.kind) ?? "internal";
}

/**
 * Finds the exit code for a failed call.
 *
 * @param error - why it failed
 * @returns the exit code
 */
export function toExitCode(error: CallError): ExitCode {
    switch (error.kind) {
        case undefined:
        case "storeUnavailable":
        case "storeOutcomeUnknown":
        case "storeRateLimited":
        case "stopping":
            return exitCodes.unreachable;
        case "revisionConflict":
            return exitCodes.conflict;
        case "notInForce":
            return exitCodes.notInForce;
        case "badRequest":
        case "bodyTooLarge":
        case "configurationInvalid":
        case "notFound":
            return exitCodes.badInput;
        default:
            return exitCodes.failed;
    }
}
