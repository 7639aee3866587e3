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
    asksPerServerAndSecond,
    coldPerSecondLimit,
    deadlyCrashes,
    deadlyRetries,
    exposureShare,
    exposureSlack,
    recoveredMs,
    recoveredShare,
    repeatRatio,
    repeatSlack,
    repeatWindowMs,
    rollbackMs,
    routeTimeoutMs,
    serverLimitBounds,
    serverRestBounds,
    serverSlots,
    settledMs,
    workspaceLimitBounds,
    zoneOutMs,
} from "./constants.js";
import { checkMovingRoute } from "./movingRouteChecker.js";
import { type CallerEnd } from "./soakCaller.js";
import { keepCalmArrivals, type Spans } from "./spans.js";

/** What a run left behind. */
export interface SoakRecord {
    readonly history: readonly HistoryLine[];
    /** When the store, a gateway or a way between them was harmed. */
    readonly harmed: Spans;
    /** What callers got, by gateway. */
    readonly edges: readonly {
        readonly ends: readonly { readonly end: CallerEnd; readonly killed: boolean; }[];
        readonly harmed: Spans;
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
    const { history, harmed } = record;
    const calm = keepCalmArrivals(history, harmed, settledMs);
    const versionBounds: VersionBounds = {
        applyMs,
        isSettled: (fromMs, toMs) => harmed.isCalm(fromMs - settledMs, toMs),
    };
    const violations: readonly Violation[] = [
        ...checkAtMostOnce(history),
        ...checkDidRunAccuracy(history),
        ...checkResponseIntegrity(history),
        ...checkRepeatBudget(history, { ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs }),
        ...checkProbeBudget(history, { probesPerSecond: asksPerServerAndSecond, seats: asksPerServerAndSecond * 10 }),
        ...checkColdRate(history, coldPerSecondLimit),
        ...checkDrained(calm, applyMs),
        ...checkServerLimit(calm, serverLimitBounds),
        ...checkServerBackoff(calm, serverRestBounds),
        ...checkLeavingRespected(calm, applyMs),
        ...checkQueryOfDeath(calm, { crashes: deadlyCrashes, settleMs: settledMs, retries: deadlyRetries }),
        ...checkZoneOut(calm, zoneOutMs),
        ...checkRollouts(calm, { serviceOf: record.serviceOf, exposureShare, exposureSlack, rollbackMs }),
        ...checkWorkspaceKeys(history, versionBounds),
        ...checkWorkspaceLimits(history, { ...versionBounds, ...workspaceLimitBounds }),
        ...checkMovingRoute(history, { serviceOf: record.serviceOf, harmed, applyMs, settledMs }),
    ];
    return [
        ...record.findings,
        ...violations.map(({ invariant, detail }) => `${invariant}: ${detail}`),
        ...checkCallers(record),
        ...checkRecovered(record),
    ];
}

/** No request is held past its time, cut off while a server ran it, or denied though it is proper. */
function checkCallers({ history, edges, harmed: anyHarmed }: SoakRecord): readonly string[] {
    const started = new Set(history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []));
    const excused = findExcused(history);
    // Whether a key is there is checked by the versions of the configuration.
    const needsKeys = history.some(line => line.type === "configurationWritten" && line.workspaces !== undefined);
    const found: string[] = [];
    for (const { ends, harmed } of edges) {
        for (const { end, killed } of ends) {
            const { requestId, status, hungUp, sentAtMs, endedAtMs } = end;
            const isFair = fairStatuses.has(status ?? 0) || (needsKeys && status === unauthenticatedStatus);
            if (status !== undefined && status >= 300 && status < 500 && !isFair) {
                found.push(`denied: ${requestId} got ${status} though it is proper`);
            }
            if (status === refusedStatus && end.retryAfter === undefined) {
                found.push(`refusal: ${requestId} was not told when to come back`);
            }
            if (status !== undefined || hungUp || killed || !end.connected) {
                continue;
            }
            if (end.gaveUp && harmed.isCalm(sentAtMs, endedAtMs)) {
                found.push(`held: ${requestId} got no answer in ${Math.round(endedAtMs - sentAtMs)} ms`);
            }
            // Of a long answer the first bytes have gone to the caller when its server fails, so that nothing is left but to break it off.
            const isBreakFair = end.route === "large" && end.brokenOff
                && (excused.has(requestId) || endedAtMs - sentAtMs >= routeTimeoutMs
                    || !anyHarmed.isCalm(sentAtMs, endedAtMs));
            if (!end.gaveUp && started.has(requestId) && !isBreakFair) {
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
    const late = edges.flatMap(({ ends }) => ends).filter(({ end }) =>
        end.sentAtMs > endedAtMs - recoveredMs && end.sentAtMs < endedAtMs - recoveredMs / 2
        && end.status !== unauthenticatedStatus
    );
    const served = late.filter(({ end }) => end.status === okStatus).length;
    if (late.length > 0 && served / late.length >= recoveredShare) {
        return [];
    }
    return [`recovered: ${served} of ${late.length} requests were served after the faults had ended`];
}
