import { Code, ConnectError } from "@connectrpc/connect";
import { type ErrorKind, errorKinds } from "@galenaglade/errors";
import { type Failure as FailureMessage, FailureSchema } from "@galenaglade/schema";
import { type ExitCode, exitCodes } from "./exitCodes.js";

/** The reason for a failed call to the admin server. */
export interface CallError {
    /** `undefined` if the admin server didn't respond: the call may have taken effect. */
    readonly kind: ErrorKind | undefined;
    readonly detail: string;
    /** Whether a retry of the same call may succeed. */
    readonly retryable: boolean;
    readonly retryAfterMs: number | undefined;
    readonly presentRevision: number | undefined;
}

/** Failures after which a retry of the same call, with the same change id, may succeed. */
const retryableKinds: ReadonlySet<ErrorKind> = new Set([
    "storeUnavailable",
    "storeOutcomeUnknown",
    "storeRateLimited",
    "overloaded",
    "stopping",
    "peerUnreachable",
]);

/** Codes that the Connect library uses if there was no response; errors from the server carry a Failure message. */
const noResponseCodes: ReadonlySet<Code> = new Set([
    Code.Unavailable,
    Code.Aborted,
    Code.DeadlineExceeded,
    Code.Canceled,
    Code.Unknown,
    Code.Internal,
]);

/** Codes of errors that the server returns before it handles the call, and so without a Failure message. */
const errorKindsByCode = new Map<Code, ErrorKind>([
    [Code.Unauthenticated, "unauthenticated"],
    [Code.ResourceExhausted, "bodyTooLarge"],
    [Code.InvalidArgument, "badRequest"],
]);

/**
 * Converts an error thrown by the Connect client.
 *
 * @param err - the thrown error
 * @returns the reason for the failure
 */
export function toCallError(err: unknown): CallError {
    const error = ConnectError.from(err);
    const failure = error.findDetails(FailureSchema)[0];
    const kind = failure === undefined ? errorKindsByCode.get(error.code) : toErrorKind(failure);
    return {
        kind,
        detail: error.rawMessage,
        retryable: kind === undefined ? noResponseCodes.has(error.code) : retryableKinds.has(kind),
        retryAfterMs: failure?.retryAfterSeconds === undefined ? undefined : failure.retryAfterSeconds * 1_000,
        presentRevision: failure?.presentRevision,
    };
}

/** Maps kinds that are added by newer servers to `internal`. */
function toErrorKind(failure: FailureMessage): ErrorKind {
    return errorKinds.find(kind => kind === failure.kind) ?? "internal";
}

/**
 * Maps a failed call to an exit code.
 *
 * @param error - the reason for the failure
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
