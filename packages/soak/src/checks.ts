import {
    checkAtMostOnce,
    checkCallersLeft,
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
    callersLeftMs,
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

/** The recorded data of a run. */
export interface SoakRecord {
    readonly history: readonly HistoryLine[];
    /** When a fault affected the store, a gateway, or a connection between them. */
    readonly faultWindows: FaultWindows;
    /** Request outcomes of each gateway. */
    readonly edges: readonly {
        readonly outcomes: readonly { readonly outcome: RequestOutcome; readonly killed: boolean; }[];
        readonly faultWindows: FaultWindows;
    }[];
    /** Service of each backend server, by server ID. */
    readonly serviceOf: ReadonlyMap<string, string>;
    /** Violations that were found while the processes ran, one line each. */
    readonly findings: readonly string[];
    /** When the load stopped. */
    readonly endedAtMs: number;
}

const okStatus = 200;
const unauthenticatedStatus = 401;
const unavailableStatus = 503;
/** Statuses that a gateway may return for a valid request. */
const allowedRejectionStatuses: ReadonlySet<number> = new Set([408, 421, 429]);

/**
 * Checks the documented guarantees against what callers and backend servers recorded.
 *
 * @param record - the recorded data of a run
 * @returns one line for each violation; empty if there is none
 */
export function checkSoak(record: SoakRecord): readonly string[] {
    const { history, faultWindows } = record;
    const faultFree = filterFaultFreeArrivals(history, faultWindows, convergenceMs);
    const versionBounds: VersionBounds = {
        applyMs,
        isSettled: (fromMs, toMs) => faultWindows.isFaultFree(fromMs - convergenceMs, toMs),
    };
    const violations: readonly Violation[] = [
        ...checkAtMostOnce(history),
        ...checkCallersLeft(history, {
            settleMs: callersLeftMs,
            isCalm: (fromMs, toMs) => faultWindows.isFaultFree(fromMs - convergenceMs, toMs),
        }),
        ...checkDidRunAccuracy(history),
        ...checkResponseIntegrity(history),
        ...checkRepeatBudget(history, { ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs }),
        ...checkProbeBudget(history, {
            probesPerSecond: maxProbesPerServerAndSecond,
            seats: maxProbesPerServerAndSecond * 10,
        }),
        ...checkColdRate(history, maxColdPerSecond),
        ...checkDrained(faultFree, applyMs),
        ...checkServerLimit(faultFree, serverLimitBounds),
        ...checkServerBackoff(faultFree, serverBackoffBounds),
        ...checkLeavingRespected(faultFree, applyMs),
        ...checkQueryOfDeath(faultFree, {
            crashes: maxQueryOfDeathCrashes,
            settleMs: convergenceMs,
            retries: maxQueryOfDeathRetries,
        }),
        ...checkZoneOut(faultFree, zoneOutMs),
        ...checkRollouts(faultFree, {
            serviceOf: record.serviceOf,
            exposureShare,
            exposureSlack,
            rollbackMs: rollbackGraceMs,
        }),
        ...checkWorkspaceKeys(history, versionBounds),
        ...checkWorkspaceLimits(history, { ...versionBounds, ...workspaceLimitBounds }),
        ...checkMovingRoute(history, {
            serviceOf: record.serviceOf,
            faultWindows,
            applyMs,
            convergenceMs,
        }),
    ];
    return [
        ...record.findings,
        ...violations.map(({ invariant, detail }) => `${invariant}: ${detail}`),
        ...checkOutcomes(record),
        ...checkRecovered(record),
    ];
}

/** Checks that no valid request is rejected, hangs, or loses its connection while a server runs it. */
function checkOutcomes({ history, edges, faultWindows: fleetFaultWindows }: SoakRecord): readonly string[] {
    const started = new Set(history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []));
    const excused = findExcusedRequests(history);
    // `checkWorkspaceKeys` checks 401 responses against the keys of each configuration version.
    const needsKeys = history.some(line => line.type === "configurationWritten" && line.workspaces !== undefined);
    const found: string[] = [];
    for (const { outcomes, faultWindows: edgeFaultWindows } of edges) {
        for (const { outcome, killed } of outcomes) {
            const { requestId, status, disconnectedEarly, sentAtMs, endedAtMs } = outcome;
            const isAllowedRejection = allowedRejectionStatuses.has(status ?? 0)
                || (needsKeys && status === unauthenticatedStatus);
            if (status !== undefined && status >= 300 && status < 500 && !isAllowedRejection) {
                found.push(`denied: ${requestId} is valid, but got status ${status}`);
            }
            if (status === unavailableStatus && outcome.retryAfter === undefined) {
                found.push(`refusal: ${requestId} got no Retry-After header`);
            }
            if (status !== undefined || disconnectedEarly || killed || !outcome.connected) {
                continue;
            }
            if (outcome.timedOut && edgeFaultWindows.isFaultFree(sentAtMs, endedAtMs)) {
                found.push(`held: ${requestId} got no response within ${Math.round(endedAtMs - sentAtMs)} ms`);
            }
            // The start of a large response has already reached the caller when its server fails, so that the gateway
            // can only abort the response.
            const isTruncationExcused = outcome.route === "large" && outcome.truncated
                && (excused.has(requestId) || endedAtMs - sentAtMs >= routeTimeoutMs
                    || !fleetFaultWindows.isFaultFree(sentAtMs, endedAtMs));
            if (!outcome.timedOut && started.has(requestId) && !isTruncationExcused) {
                found.push(`lost: ${requestId} ran, but its connection ended without a response`);
            }
        }
    }
    return found;
}

/** @returns IDs of the requests whose response a server corrupted, or whose server exited after it started them */
function findExcusedRequests(history: readonly HistoryLine[]): ReadonlySet<string> {
    const startedByServer = new Map<string, string[]>();
    const excused = new Set<string>();
    for (const line of history) {
        if (line.type === "serverStarted") {
            startedByServer.set(line.server, [...startedByServer.get(line.server) ?? [], line.requestId]);
        }
        if (line.type === "serverSpoilt") {
            excused.add(line.requestId);
        }
        if (line.type === "serverExited") {
            for (const requestId of startedByServer.get(line.server)?.slice(-serverSlots) ?? []) {
                excused.add(requestId);
            }
        }
    }
    return excused;
}

/** Checks that nearly all requests with a valid key succeed once the fleet has had time to recover. */
function checkRecovered({ edges, endedAtMs }: SoakRecord): readonly string[] {
    const finalRequests = edges.flatMap(({ outcomes }) => outcomes).filter(({ outcome }) =>
        outcome.sentAtMs > endedAtMs - recoveryCheckMs && outcome.sentAtMs < endedAtMs - recoveryCheckMs / 2
        && outcome.status !== unauthenticatedStatus
    );
    const served = finalRequests.filter(({ outcome }) => outcome.status === okStatus).length;
    if (finalRequests.length > 0 && served / finalRequests.length >= minRecoveredShare) {
        return [];
    }
    return [`recovered: only ${served} of ${finalRequests.length} requests succeeded after the last fault`];
}
