import { Code, ConnectError } from "@connectrpc/connect";
import { type DocumentFault, formatPath } from "@galenaglade/configuration";
import { createFailure, type DidRun, type ErrorKind, type Failure, resolveFailure } from "@galenaglade/errors";
import { DidRun as DidRunEnum, FailureSchema } from "@galenaglade/schema";

/** Why an operator's call failed, with what only operators are told. */
export interface CallFailure {
    readonly failure: Failure;
    /** With `revisionConflict`: the revision that is present, where it could be read. */
    readonly presentRevision?: number | undefined;
    /** With `configurationInvalid`: everything that is wrong. */
    readonly faults?: readonly DocumentFault[] | undefined;
}

/** The table from error kind to the code of the Connect and gRPC protocols. */
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
 * Makes a call's failure where there is nothing to say but the failure itself.
 *
 * @param failure - what failed
 * @returns the failure as a call's
 */
export function toCallFailure(failure: Failure): CallFailure {
    return { failure };
}

/**
 * Makes the failure for a configuration that is not valid.
 *
 * @param faults - everything that is wrong
 * @returns the failure
 */
export function createInvalidConfigurationFailure(faults: readonly DocumentFault[]): CallFailure {
    const lines = faults.map(fault => `${formatPath(fault.path)}: ${fault.message}`);
    return { failure: createFailure("configurationInvalid", lines.join("; ")), faults };
}

/**
 * Makes the message that tells an operator of a failure.
 *
 * @param callFailure - the failure
 * @returns what a Failure message is made from
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
 * Makes the error that ends a call.
 *
 * @param callFailure - the failure
 * @returns an error with the Failure message among its details
 */
export function toConnectError(callFailure: CallFailure): ConnectError {
    const { kind, detail } = callFailure.failure;
    return new ConnectError(detail, connectCodes[kind], undefined, [
        { desc: FailureSchema, value: toFailureInit(callFailure) },
    ]);
}
