import { Code, ConnectError } from "@connectrpc/connect";
import { type DocumentFault, formatPath } from "@galenaglade/configuration";
import { createFailure, type DidRun, type ErrorKind, type Failure, resolveFailure } from "@galenaglade/errors";
import { DidRun as DidRunEnum, FailureSchema } from "@galenaglade/schema";

/** Failure of an operator's call, with details for operators only. */
export interface CallFailure {
    readonly failure: Failure;
    /** With `revisionConflict`: the current revision, if it could be read. */
    readonly presentRevision?: number | undefined;
    /** With `configurationInvalid`: all faults found. */
    readonly faults?: readonly DocumentFault[] | undefined;
}

/** Maps error kinds to the status codes of the Connect and gRPC protocols. */
export const connectCodes: Readonly<Record<ErrorKind, Code>> = Object.freeze({
    badRequest: Code.InvalidArgument,
    headersTooLarge: Code.ResourceExhausted,
    bodyTooLarge: Code.ResourceExhausted,
    requestTimeout: Code.DeadlineExceeded,
    noSuchService: Code.NotFound,
    tooManyConnections: Code.ResourceExhausted,
    unauthenticated: Code.Unauthenticated,
    workspaceOverLimit: Code.ResourceExhausted,
    noBackendServer: Code.Unavailable,
    overloaded: Code.ResourceExhausted,
    patienceSpent: Code.DeadlineExceeded,
    notFresh: Code.Unavailable,
    stopping: Code.Unavailable,
    connectFailed: Code.Unavailable,
    connectionLost: Code.Unknown,
    backendTimeout: Code.DeadlineExceeded,
    truncatedAnswer: Code.DataLoss,
    backendShed: Code.Unavailable,
    queryOfDeath: Code.FailedPrecondition,
    idempotencyKeyInUse: Code.Aborted,
    idempotencyKeyEnded: Code.AlreadyExists,
    idempotencyKeyMismatch: Code.InvalidArgument,
    storeUnavailable: Code.Unavailable,
    storeOutcomeUnknown: Code.Unknown,
    storeRateLimited: Code.ResourceExhausted,
    storeHistoryLost: Code.Unavailable,
    revisionConflict: Code.Aborted,
    configurationInvalid: Code.InvalidArgument,
    notFound: Code.NotFound,
    notInForce: Code.DeadlineExceeded,
    peerUnreachable: Code.Unavailable,
    internal: Code.Internal,
});

const didRunEnums: Readonly<Record<DidRun, DidRunEnum>> = {
    no: DidRunEnum.NO,
    yes: DidRunEnum.YES,
    unknown: DidRunEnum.UNKNOWN,
};

/**
 * Wraps a failure that has no details for operators.
 *
 * @param failure - the failure
 * @returns the call's failure
 */
export function toCallFailure(failure: Failure): CallFailure {
    return { failure };
}

/**
 * Creates the failure for an invalid configuration.
 *
 * @param faults - all faults found
 * @returns the call's failure, with kind `configurationInvalid`
 */
export function createInvalidConfigurationFailure(faults: readonly DocumentFault[]): CallFailure {
    const lines = faults.map(fault => `${formatPath(fault.path)}: ${fault.message}`);
    return { failure: createFailure("configurationInvalid", lines.join("; ")), faults };
}

/**
 * Converts a failure to the API's Failure message.
 *
 * @param callFailure - the call's failure
 * @returns initial values of a Failure message
 */
export function toFailureInit({ failure, presentRevision, faults }: CallFailure) {
    const { kind, detail, didRun, retryAfterSeconds } = resolveFailure(failure);
    return {
        kind,
        detail,
        didRun: didRunEnums[didRun],
        retryAfterSeconds,
        presentRevision,
        faults: (faults ?? []).map(fault => ({ path: formatPath(fault.path), message: fault.message })),
    };
}

/**
 * Converts a failure to the error that ends a Connect or gRPC call.
 *
 * @param callFailure - the call's failure
 * @returns an error with the Failure message in its details
 */
export function toConnectError(callFailure: CallFailure): ConnectError {
    const { kind, detail } = callFailure.failure;
    return new ConnectError(detail, connectCodes[kind], undefined, [
        { desc: FailureSchema, value: toFailureInit(callFailure) },
    ]);
}
