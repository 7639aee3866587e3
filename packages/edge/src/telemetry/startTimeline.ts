import { type EdgeLog } from "./edgeLog.js";

/** Phases of a process from its start to its first response, in the usual order. */
export type StartPhase =
    | "programLoaded"
    | "portsOpen"
    | "stateRead"
    | "firstCaller"
    | "firstProbe"
    | "firstProbeAnswered"
    | "firstSend"
    | "firstAnswer";

/** Elapsed time and CPU time of a process. */
export interface ProcessTimes {
    /** Time since the process started, in milliseconds. */
    readonly uptimeMs: number;
    /** CPU time of all its threads since then, in milliseconds. */
    readonly cpuMs: number;
}

/**
 * Records when a process reached each phase of its start, and how much CPU time it had used by then. Logged once, with
 * the first response: after an outage of all hosts it shows where callers' time went, whether into the start of the
 * program, the store or the placement.
 */
export class StartTimeline {
    readonly #log: EdgeLog;
    readonly #readTimes: () => ProcessTimes;
    readonly #phases = new Map<StartPhase, ProcessTimes>();
    #ended = false;

    /**
     * @param log - log of the process
     * @param readTimes - reads the times of the process; by default of this one
     */
    constructor(log: EdgeLog, readTimes: () => ProcessTimes = readProcessTimes) {
        this.#log = log;
        this.#readTimes = readTimes;
    }

    /** Records that a phase was reached; only the first call for each phase counts. */
    record(phase: StartPhase): void {
        if (this.#ended || this.#phases.has(phase)) {
            return;
        }
        this.#phases.set(phase, this.#readTimes());
        if (phase === "firstAnswer") {
            this.#ended = true;
            this.#log.log("info", "startTimeline", this.#describe());
        }
    }

    #describe(): Readonly<Record<string, number>> {
        const fields: Record<string, number> = {};
        for (const [phase, { uptimeMs, cpuMs }] of this.#phases) {
            fields[`${phase}Ms`] = Math.round(uptimeMs);
            fields[`${phase}ProcessorMs`] = Math.round(cpuMs);
        }
        return fields;
    }
}

function readProcessTimes(): ProcessTimes {
    const { user, system } = process.cpuUsage();
    return { uptimeMs: performance.now(), cpuMs: (user + system) / 1_000 };
}
