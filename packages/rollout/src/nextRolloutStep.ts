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

/** What decides over the next step of a roll-out. */
export interface RolloutInput {
    readonly plan: RolloutPlan;
    readonly verdict: VersionVerdict;
    /** Since the order was given, at least. */
    readonly sinceOrderMs: number;
    /** Since the order was given, at most; `undefined` where nothing says so. */
    readonly sinceOrderAtMostMs?: number | undefined;
    /** Since this gateway first saw the present stage, and answers of the new version since then. */
    readonly sinceStageMs: number;
    readonly sendsSinceStage: number;
    /** Slots of warm servers of the new version, over those of the old. */
    readonly capacity: number;
    /** Gateways that are registered, and those of them that have settled. */
    readonly registered: number;
    readonly settled: number;
    readonly epochMs: number;
}

/** What to write next, and why; `undefined` for nothing. */
export interface RolloutWrite {
    readonly status: RolloutStatus;
    readonly reason: string;
}

/**
 * Decides over the next step of one roll-out. The state that a successor needs is the status in the store; what it lacks, the
 * evidence, gateways tell it again. In doubt a version is rolled back: servers of the old one still run until the last step.
 *
 * @param input - what decides
 */
export function nextRolloutStep(input: RolloutInput): RolloutWrite | undefined {
    const { plan: { order, status } } = input;
    if (order === undefined) {
        return status === undefined || isFinalStage(status.stage)
            ? undefined
            : rollBack(input, status, "orderWithdrawn");
    }
    if (status?.version !== order.version) {
        return begin(input, order);
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
 * Where it isn't known how old the order is, the time may be over and counts as over: the old version's servers still run.
 *
 * @returns whether a roll-out that has not ended is to be rolled back
 */
export function isTimedOut(
    { sinceOrderMs, sinceOrderAtMostMs = 0 }: Pick<RolloutInput, "sinceOrderMs" | "sinceOrderAtMostMs">,
    allowedMs: number,
): boolean {
    return sinceOrderMs >= allowedMs * deadlineShare || sinceOrderAtMostMs >= allowedMs * deadlineShareByMaxAge;
}

function begin(
    { plan: { status }, sinceOrderMs, epochMs }: RolloutInput,
    { service, version }: NonNullable<RolloutPlan["order"]>,
): RolloutWrite {
    const unproved = status === undefined || isFinalStage(status.stage) ? [] : [status.version];
    const rejectedVersions = reject(status?.rejectedVersions ?? [], unproved.filter(other => other !== version));
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
    const rejectedVersions = reject(status.rejectedVersions, [status.version]);
    return {
        status: { ...status, stage: "rolledBack", rejectedVersions },
        reason: order === undefined ? "orderWithdrawn" : reason,
    };
}

function reject(before: readonly string[], versions: readonly string[]): readonly string[] {
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
            const mayMiss = sinceOrderMs >= allowedMs * partialSettlingTimeShare;
            return settled > 0 && settled >= registered * (mayMiss ? minSettledShare : 1)
                ? { stage: "completed", reason: settled >= registered ? "allSettled" : "mostSettled" }
                : undefined;
        }
    }
}
