import { isFinalStage, type RolloutPlan, type RolloutStage, type RolloutStatus } from "@galenaglade/fleet-state";
import {
    deadlineShare,
    deadlineShareByMaxAge,
    minCapacityRatio,
    minTrialTimeShare,
    maxRejectedVersions,
    partialSettlingTimeShare,
    minSettledShare,
    minWidenedMs,
    minWidenedSends,
} from "./constants.js";
import { type VersionVerdict } from "./versionTest.js";

/** Input of the decision on the next step of a rollout. */
export interface RolloutInput {
    readonly plan: RolloutPlan;
    readonly verdict: VersionVerdict;
    /** Lower bound of the time since the order was given. */
    readonly sinceOrderMs: number;
    /** Upper bound of the time since the order was given; `undefined` if unknown. */
    readonly sinceOrderAtMostMs?: number | undefined;
    /**
     * Time since this gateway first saw the current stage, and the number of judged sends to the new version since
     * then.
     */
    readonly sinceStageMs: number;
    readonly sendsSinceStage: number;
    /** Slots of warm servers of the new version, relative to the slots of the old version. */
    readonly capacity: number;
    /** Number of registered gateways, and how many of them have settled. */
    readonly registered: number;
    readonly settled: number;
    readonly epochMs: number;
}

/** A status to write, and the reason for it. */
export interface RolloutWrite {
    readonly status: RolloutStatus;
    readonly reason: string;
}

/**
 * Decides on the next step of one rollout. The only state that a succeeding coordinator needs is the status in the
 * store; gateways report their evidence to it again. In doubt, a version is rolled back: servers of the old version
 * keep running until the last step.
 *
 * @param input - the state of the rollout
 * @returns the status to write, or `undefined` if there is none
 */
export function nextRolloutStep(input: RolloutInput): RolloutWrite | undefined {
    const { plan: { order, status } } = input;
    if (order === undefined) {
        return status === undefined || isFinalStage(status.stage)
            ? undefined
            : rollBack(input, status, "orderWithdrawn");
    }
    if (status?.version !== order.version) {
        return startRollout(input, order);
    }
    if (isFinalStage(status.stage)) {
        return undefined;
    }
    if (input.verdict.type === "bad") {
        return rollBack(input, status, "badAnswers");
    }
    if (isTimedOut(input, order.allowedMs)) {
        return rollBack(input, status, "timeIsOver");
    }
    const next = advance(input, status.stage, order.allowedMs);
    return next === undefined ? undefined : { status: { ...status, stage: next.stage }, reason: next.reason };
}

/**
 * Decides whether the allowed time of a rollout is over. An order that may be too old counts as too old: servers of
 * the old version are still running, so a rollback is safe.
 *
 * @returns whether an unfinished rollout is to be rolled back
 */
export function isTimedOut(
    { sinceOrderMs, sinceOrderAtMostMs = 0 }: Pick<RolloutInput, "sinceOrderMs" | "sinceOrderAtMostMs">,
    allowedMs: number,
): boolean {
    return sinceOrderMs >= allowedMs * deadlineShare || sinceOrderAtMostMs >= allowedMs * deadlineShareByMaxAge;
}

function startRollout(
    { plan: { status }, sinceOrderMs, epochMs }: RolloutInput,
    { service, version }: NonNullable<RolloutPlan["order"]>,
): RolloutWrite {
    const unproved = status === undefined || isFinalStage(status.stage) ? [] : [status.version];
    const rejectedVersions = appendRejected(
        status?.rejectedVersions ?? [],
        unproved.filter(other => other !== version),
    );
    const isRejected = rejectedVersions.includes(version);
    return {
        status: {
            service,
            version,
            stage: isRejected ? "rolledBack" : "trial",
            startedAtEpochMs: epochMs - sinceOrderMs,
            rejectedVersions,
        },
        reason: isRejected ? "rejectedBefore" : "ordered",
    };
}

function rollBack({ plan: { order } }: RolloutInput, status: RolloutStatus, reason: string): RolloutWrite {
    const rejectedVersions = appendRejected(status.rejectedVersions, [status.version]);
    return {
        status: { ...status, stage: "rolledBack", rejectedVersions },
        reason: order === undefined ? "orderWithdrawn" : reason,
    };
}

function appendRejected(before: readonly string[], versions: readonly string[]): readonly string[] {
    return [...before.filter(version => !versions.includes(version)), ...versions].slice(-maxRejectedVersions);
}

function advance(
    input: RolloutInput,
    stage: RolloutStage,
    allowedMs: number,
): { readonly stage: RolloutStage; readonly reason: string; } | undefined {
    const { verdict, sinceOrderMs, sinceStageMs, sendsSinceStage, capacity, registered, settled } = input;
    switch (stage) {
        case "trial":
            return verdict.type === "sound" && sinceOrderMs >= allowedMs * minTrialTimeShare
                    && capacity >= minCapacityRatio
                ? { stage: "widened", reason: "sound" }
                : undefined;
        case "widened":
            return verdict.type === "sound" && sinceStageMs >= minWidenedMs && sendsSinceStage >= minWidenedSends
                    && capacity >= minCapacityRatio
                ? { stage: "shifted", reason: "soundWhenWidened" }
                : undefined;
        default: {
            const allowsUnsettled = sinceOrderMs >= allowedMs * partialSettlingTimeShare;
            return settled > 0 && settled >= registered * (allowsUnsettled ? minSettledShare : 1)
                ? { stage: "completed", reason: settled >= registered ? "allSettled" : "mostSettled" }
                : undefined;
        }
    }
}
