import { build, type Histogram } from "hdr-histogram-js";
import { type FleetReplay } from "../world/fleetReplay.js";
import { type SimulatedCaller } from "../world/simulatedCaller.js";

/** Outcomes of the callers that arrived in one window. Shares are from 0 to 1. */
export interface ReplayWindow {
    /** Start of the window, in seconds. */
    readonly fromSeconds: number;
    readonly asked: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
    /** Load probes per server and second. */
    readonly probes: number;
    /** Average share of busy slots of all servers. */
    readonly slots: number;
}

/** Results for one request kind. */
export interface RequestKindStats {
    readonly name: string;
    readonly asked: number;
    /** Share of the callers that were answered within the objective. */
    readonly inTime: number;
    /** Latency percentiles, in milliseconds. */
    readonly p50: number;
    readonly p99: number;
}

/** Report of a replay. */
export interface ReplayReport {
    readonly scenario: string;
    readonly seed: number;
    readonly callers: number;
    /** Share of the callers that were answered within the objective. */
    readonly inTime: number;
    /** Mean of the two lowest windows' shares of callers answered within the objective. */
    readonly worstWindows: number;
    /** Share of the callers that were refused. */
    readonly refused: number;
    /** Load probes and new connections per caller. */
    readonly probesPerCaller: number;
    readonly connectionsPerCaller: number;
    /** Maximum number of load probes to one server within ten seconds. */
    readonly mostProbes: number;
    /** Maximum number of requests to one cold server within a second. */
    readonly mostColdArrivals: number;
    /**
     * Maximum number of requests within four seconds to one server with a limit, from gateways that must enforce it.
     */
    readonly mostLimitedArrivals: number;
    /** Number of all these requests. */
    readonly limitedArrivals: number;
    /** Number of requests to servers with a limit from gateways that need not enforce it yet. */
    readonly untoldArrivals: number;
    readonly kinds: readonly RequestKindStats[];
    readonly windows: readonly ReplayWindow[];
}

const sampleMs = 100;
const probeWindowMs = 10_000;
const worstWindows = 2;
const limitWindowMs = 4_000;

/** Samples the servers during a replay and creates the report at its end. */
export class FleetRecorder {
    readonly everyMs = sampleMs;
    readonly #slotSamples: { readonly atMs: number; readonly share: number; }[] = [];

    /** Takes a sample; called by the replay every `everyMs` milliseconds. */
    readonly run = (fleet: FleetReplay, nowMs: number): void => {
        let running = 0;
        let slots = 0;
        for (const server of fleet.servers) {
            if (server.isRegistered) {
                running += server.running;
                slots += server.registered.slots;
            }
        }
        this.#slotSamples.push({ atMs: nowMs, share: slots === 0 ? 0 : running / slots });
    };

    /** @returns the report of a finished replay */
    report(fleet: FleetReplay): ReplayReport {
        const { scenario, callers, servers, gateways } = fleet;
        // Callers that arrived shortly before the end had too little time to get a response.
        const settled = callers.filter(({ arrivedAtMs, kind }) =>
            arrivedAtMs + kind.objectiveMs <= scenario.durationMs
        );
        const windows = this.#createWindows(fleet, settled);
        const shares = windows.filter(({ asked }) => asked > 0).map(({ asked, inTime }) => inTime / asked);
        const worst = shares.sort((a, b) => a - b).slice(0, worstWindows);
        const probes = sum(servers.map(server => server.probes));
        return {
            scenario: scenario.name,
            seed: scenario.seed,
            callers: settled.length,
            inTime: shareOf(settled, caller => caller.isWithinObjective),
            worstWindows: sum(worst) / Math.max(1, worst.length),
            refused: shareOf(settled, ({ end }) => end === "refused"),
            probesPerCaller: probes / Math.max(1, settled.length),
            connectionsPerCaller: sum(gateways.map(each => each.connectionsOpened)) / Math.max(1, settled.length),
            mostProbes: Math.max(0, ...servers.map(({ probesAtMs }) => findMaxWithin(probesAtMs, probeWindowMs))),
            mostColdArrivals: Math.max(0, ...servers.map(server => server.findMaxColdArrivalsPerSecond())),
            mostLimitedArrivals: Math.max(
                0,
                ...servers.map(({ limitedArrivalsMs }) => findMaxWithin(limitedArrivalsMs, limitWindowMs)),
            ),
            limitedArrivals: sum(servers.map(({ limitedArrivalsMs }) => limitedArrivalsMs.length)),
            untoldArrivals: sum(servers.map(server => server.arrivalsFromUninformedGateways)),
            kinds: scenario.requests.map(({ name }) => describeKind(name, settled)),
            windows,
        };
    }

    #createWindows(fleet: FleetReplay, callers: readonly SimulatedCaller[]): readonly ReplayWindow[] {
        const { durationMs, windowMs } = fleet.scenario;
        const windows: ReplayWindow[] = [];
        for (let fromMs = 0; fromMs < durationMs; fromMs += windowMs) {
            const isInside = (atMs: number): boolean => atMs >= fromMs && atMs < fromMs + windowMs;
            const arrived = callers.filter(({ arrivedAtMs }) => isInside(arrivedAtMs));
            const inTime = arrived.filter(caller => caller.isWithinObjective).length;
            const answered = arrived.filter(({ answeredAtMs }) => answeredAtMs !== undefined).length;
            const refused = arrived.filter(({ end }) => end === "refused").length;
            const samples = this.#slotSamples.filter(({ atMs }) => isInside(atMs));
            const probes = sum(fleet.servers.map(({ probesAtMs }) => probesAtMs.filter(isInside).length));
            windows.push({
                fromSeconds: fromMs / 1_000,
                asked: arrived.length,
                inTime,
                late: answered - inTime,
                refused,
                failed: arrived.length - answered - refused,
                probes: probes / fleet.servers.length / (windowMs / 1_000),
                slots: sum(samples.map(({ share }) => share)) / Math.max(1, samples.length),
            });
        }
        return windows;
    }
}

/** @returns maximum number of the sorted times that lie within one span */
export function findMaxWithin(timesMs: readonly number[], spanMs: number): number {
    let max = 0;
    let first = 0;
    for (const [last, atMs] of timesMs.entries()) {
        while (atMs - (timesMs[first] ?? 0) >= spanMs) {
            first++;
        }
        max = Math.max(max, last - first + 1);
    }
    return max;
}

function describeKind(name: string, callers: readonly SimulatedCaller[]): RequestKindStats {
    const own = callers.filter(({ kind }) => kind.name === name);
    const times: Histogram = build();
    for (const { answeredAtMs, arrivedAtMs } of own) {
        if (answeredAtMs !== undefined) {
            times.recordValue(Math.round(answeredAtMs - arrivedAtMs));
        }
    }
    return {
        name,
        asked: own.length,
        inTime: shareOf(own, caller => caller.isWithinObjective),
        p50: times.getValueAtPercentile(50),
        p99: times.getValueAtPercentile(99),
    };
}

function shareOf<T>(all: readonly T[], fits: (each: T) => boolean): number {
    return all.length === 0 ? 1 : all.filter(fits).length / all.length;
}

function sum(figures: readonly number[]): number {
    let total = 0;
    for (const figure of figures) {
        total += figure;
    }
    return total;
}
