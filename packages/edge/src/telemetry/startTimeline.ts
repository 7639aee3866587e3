import { type EdgeLog } from "./edgeLog.js";

/** What a process reaches one after the other from its start to its first answer. */
export type StartPhase =
    | "programLoaded"
    | "portsOpen"
    | "stateRead"
    | "firstCaller"
    | "firstProbe"
    | "firstProbeAnswered"
    | "firstSend"
    | "firstAnswer";

/** Elapsed and processor time of a process. */
export interface ProcessTimes {
    /** Since the process began. */
    readonly uptimeMs: number;
    /** Used by all of its threads since then. */
    readonly cpuMs: number;
}

/**
 * When a process reached each phase of its start, and what processor time it had used by then. Written once, with the first
 * answer: after a stop of all hosts it says where callers' time went, in the program's start, the store, or the placement.
 */
export class StartTimeline {
    readonly #log: EdgeLog;
    readonly #readTimes: () => ProcessTimes;
    readonly #phases = new Map<StartPhase, ProcessTimes>();
    #ended = false;

    /**
     * @param log - where the line goes
     * @param readTimes - says how long the process has run; by default this process
     */
    constructor(log: EdgeLog, readTimes: () => ProcessTimes = readProcessTimes) {
        this.#log = log;
        this.#readTimes = readTimes;
    }

    /** A phase was reached; only its first time counts. */
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
