import {
    checkAtMostOnce,
    checkColdRate,
    checkDrained,
    checkLeavingRespected,
    checkProbeBudget,
    checkQueryOfDeath,
    checkRepeatBudget,
    checkRollouts,
    checkServerLimit,
    checkServerBackoff,
    checkDidRunAccuracy,
    checkResponseIntegrity,
    checkWorkspaceKeys,
    checkWorkspaceLimits,
    checkZoneOut,
    type HistoryLine,
    type VersionBounds,
    type Violation,
} from "@galenaglade/history";
import {
    applyMs,
    maxProbesPerServerAndSecond,
    maxColdPerSecond,
    maxQueryOfDeathCrashes,
    maxQueryOfDeathRetries,
    exposureShare,
    exposureSlack,
    recoveryCheckMs,
    minRecoveredShare,
    repeatRatio,
    repeatSlack,
    repeatWindowMs,
    rollbackGraceMs,
    routeTimeoutMs,
    serverLimitBounds,
    serverBackoffBounds,
    serverSlots,
    convergenceMs,
    workspaceLimitBounds,
    zoneOutMs,
} from "./constants.js";
import { checkMovingRoute } from "./movingRouteChecker.js";
import { type RequestOutcome } from "./soakCaller.js";
import { filterFaultFreeArrivals, type FaultWindows } from "./faultWindows.js";

/** What a run left behind. */
export interface SoakRecord {
    readonly history: readonly HistoryLine[];
    /** When the store, a gateway or a way between them was harmed. */
    readonly faultWindows: FaultWindows;
    /** What callers got, by gateway. */
    readonly edges: readonly {
        readonly outcomes: readonly { readonly outcome: RequestOutcome; readonly killed: boolean; }[];
        readonly faultWindows: FaultWindows;
    }[];
    /** Service of each backend server. */
    readonly serviceOf: ReadonlyMap<string, string>;
    /** What the starters of the processes saw. */
    readonly findings: readonly string[];
    readonly endedAtMs: number;
}

const okStatus = 200;
const unauthenticatedStatus = 401;
const refusedStatus = 503;
/** Statuses of the product's own that say nothing against a proper request. */
const fairStatuses: ReadonlySet<number> = new Set([408, 421, 429]);

/**
 * Checks the promises of the product's pages against what callers and backend servers saw.
 *
 * @param record - what a run left behind
 * @returns one line for each thing found; empty where all held
 */
export function checkSoak(record: SoakRecord): readonly string[] {
    const { history, faultWindows } = record;
    const calm = filterFaultFreeArrivals(history, faultWindows, convergenceMs);
    const versionBounds: VersionBounds = {
        applyMs,
        isSettled: (fromMs, toMs) => faultWindows.isFaultFree(fromMs - convergenceMs, toMs),
    };
    const violations: readonly Violation[] = [
        ...checkAtMostOnce(history),
        ...checkDidRunAccuracy(history),
        ...checkResponseIntegrity(history),
        ...checkRepeatBudget(history, { ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs }),
        ...checkProbeBudget(history, {
            probesPerSecond: maxProbesPerServerAndSecond,
            seats: maxProbesPerServerAndSecond * 10,
        }),
        ...checkColdRate(history, maxColdPerSecond),
        ...checkDrained(calm, applyMs),
        ...checkServerLimit(calm, serverLimitBounds),
        ...checkServerBackoff(calm, serverBackoffBounds),
        ...checkLeavingRespected(calm, applyMs),
        ...checkQueryOfDeath(calm, {
            crashes: maxQueryOfDeathCrashes,
            settleMs: convergenceMs,
            retries: maxQueryOfDeathRetries,
        }),
        ...checkZoneOut(calm, zoneOutMs),
        ...checkRollouts(calm, {
            serviceOf: record.serviceOf,
            exposureShare,
            exposureSlack,
            rollbackMs: rollbackGraceMs,
        }),
        ...checkWorkspaceKeys(history, versionBounds),
        ...checkWorkspaceLimits(history, { ...versionBounds, ...workspaceLimitBounds }),
        ...checkMovingRoute(history, {
            serviceOf: record.serviceOf,
            faultWindows: faultWindows,
            applyMs,
            convergenceMs: convergenceMs,
        }),
    ];
    return [
        ...record.findings,
        ...violations.map(({ invariant, detail }) => `${invariant}: ${detail}`),
        ...checkCallers(record),
        ...checkRecovered(record),
    ];
}

/** No request is held past its time, cut off while a server ran it, or denied though it is proper. */
function checkCallers({ history, edges, faultWindows: anyHarmed }: SoakRecord): readonly string[] {
    const started = new Set(history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []));
    const excused = findExcused(history);
    // Whether a key is there is checked by the versions of the configuration.
    const needsKeys = history.some(line => line.type === "configurationWritten" && line.workspaces !== undefined);
    const found: string[] = [];
    for (const { outcomes, faultWindows: harmed } of edges) {
        for (const { outcome, killed } of outcomes) {
            const { requestId, status, disconnectedEarly, sentAtMs, endedAtMs } = outcome;
            const isFair = fairStatuses.has(status ?? 0) || (needsKeys && status === unauthenticatedStatus);
            if (status !== undefined && status >= 300 && status < 500 && !isFair) {
                found.push(`denied: ${requestId} got ${status} though it is proper`);
            }
            if (status === refusedStatus && outcome.retryAfter === undefined) {
                found.push(`refusal: ${requestId} was not told when to come back`);
            }
            if (status !== undefined || disconnectedEarly || killed || !outcome.connected) {
                continue;
            }
            if (outcome.timedOut && harmed.isFaultFree(sentAtMs, endedAtMs)) {
                found.push(`held: ${requestId} got no answer in ${Math.round(endedAtMs - sentAtMs)} ms`);
            }
            // Of a long answer the first bytes have gone to the caller when its server fails, so that nothing is left but to break it off.
            const isBreakFair = outcome.route === "large" && outcome.truncated
                && (excused.has(requestId) || endedAtMs - sentAtMs >= routeTimeoutMs
                    || !anyHarmed.isFaultFree(sentAtMs, endedAtMs));
            if (!outcome.timedOut && started.has(requestId) && !isBreakFair) {
                found.push(`lost: ${requestId} ran, and its connection ended without an answer`);
            }
        }
    }
    return found;
}

/** @returns requests whose answers a server spoilt, or whose server ended after it had started them */
function findExcused(history: readonly HistoryLine[]): ReadonlySet<string> {
    const startedOn = new Map<string, string[]>();
    const excused = new Set<string>();
    for (const line of history) {
        if (line.type === "serverStarted") {
            startedOn.set(line.server, [...startedOn.get(line.server) ?? [], line.requestId]);
        }
        if (line.type === "serverSpoilt") {
            excused.add(line.requestId);
        }
        if (line.type === "serverExited") {
            for (const requestId of startedOn.get(line.server)?.slice(-serverSlots) ?? []) {
                excused.add(requestId);
            }
        }
    }
    return excused;
}

/** After the last fault and the time to recover, nearly everything that has a key is served. */
function checkRecovered({ edges, endedAtMs }: SoakRecord): readonly string[] {
    const late = edges.flatMap(({ outcomes }) => outcomes).filter(({ outcome }) =>
        outcome.sentAtMs > endedAtMs - recoveryCheckMs && outcome.sentAtMs < endedAtMs - recoveryCheckMs / 2
        && outcome.status !== unauthenticatedStatus
    );
    const served = late.filter(({ outcome }) => outcome.status === okStatus).length;
    if (late.length > 0 && served / late.length >= minRecoveredShare) {
        return [];
    }
    return [`recovered: ${served} of ${late.length} requests were served after the faults had ended`];
}
