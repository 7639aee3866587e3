import {
    checkAtMostOnce,
    checkColdRate,
    checkDrained,
    checkLeavingHeeded,
    checkProbeBudget,
    checkQueryOfDeath,
    checkRepeatBudget,
    checkRollouts,
    checkServerLimit,
    checkServerRest,
    checkTruthfulDidRun,
    checkWholeAnswer,
    checkZoneOut,
    type HistoryLine,
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
    serverLimitBounds,
    serverRestBounds,
    settledMs,
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
    const violations: readonly Violation[] = [
        ...checkAtMostOnce(history),
        ...checkTruthfulDidRun(history),
        ...checkWholeAnswer(history),
        ...checkRepeatBudget(history, { ratio: repeatRatio, slack: repeatSlack, windowMs: repeatWindowMs }),
        ...checkProbeBudget(history, { probesPerSecond: asksPerServerAndSecond, seats: asksPerServerAndSecond * 10 }),
        ...checkColdRate(history, coldPerSecondLimit),
        ...checkDrained(calm, applyMs),
        ...checkServerLimit(calm, serverLimitBounds),
        ...checkServerRest(calm, serverRestBounds),
        ...checkLeavingHeeded(calm, applyMs),
        ...checkQueryOfDeath(calm, { crashes: deadlyCrashes, settleMs: settledMs, retries: deadlyRetries }),
        ...checkZoneOut(calm, zoneOutMs),
        ...checkRollouts(calm, { serviceOf: record.serviceOf, exposureShare, exposureSlack, rollbackMs }),
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
function checkCallers({ history, edges }: SoakRecord): readonly string[] {
    const started = new Set(history.flatMap(line => line.type === "serverStarted" ? [line.requestId] : []));
    const found: string[] = [];
    for (const { ends, harmed } of edges) {
        for (const { end, killed } of ends) {
            const { requestId, status, hungUp, sentAtMs, endedAtMs } = end;
            if (status !== undefined && status >= 300 && status < 500 && !fairStatuses.has(status)) {
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
            if (!end.gaveUp && started.has(requestId)) {
                found.push(`lost: ${requestId} ran, and its connection ended without an answer`);
            }
        }
    }
    return found;
}

/** After the last fault and the time to recover, nearly everything is served. */
function checkRecovered({ edges, endedAtMs }: SoakRecord): readonly string[] {
    const late = edges.flatMap(({ ends }) => ends).filter(({ end }) =>
        end.sentAtMs > endedAtMs - recoveredMs && end.sentAtMs < endedAtMs - recoveredMs / 2
    );
    const served = late.filter(({ end }) => end.status === okStatus).length;
    if (late.length > 0 && served / late.length >= recoveredShare) {
        return [];
    }
    return [`recovered: ${served} of ${late.length} requests were served after the faults had ended`];
}
