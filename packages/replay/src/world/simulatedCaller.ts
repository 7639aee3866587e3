import { type RequestKind } from "./scenario.js";

/** How a caller's request ended for it. */
export type CallerEnd = "answered" | "refused" | "failed" | "gaveUp";

/** One caller with one request, over all its tries. */
export class SimulatedCaller {
    readonly kind: RequestKind;
    readonly workMs: number;
    readonly arrivedAtMs: number;
    /** Leaves this long after it arrived. */
    readonly patienceMs: number;
    /** Whether it comes back at once whatever it is told. */
    readonly retriesImmediately: boolean;
    readonly maxTries: number;
    readonly zone: string;
    tries = 0;
    answeredAtMs: number | undefined;
    end: CallerEnd | undefined;

    constructor(parts: {
        readonly kind: RequestKind;
        readonly workMs: number;
        readonly arrivedAtMs: number;
        readonly patienceMs: number;
        readonly retriesImmediately: boolean;
        readonly maxTries: number;
        readonly zone: string;
    }) {
        this.kind = parts.kind;
        this.workMs = parts.workMs;
        this.arrivedAtMs = parts.arrivedAtMs;
        this.patienceMs = parts.patienceMs;
        this.retriesImmediately = parts.retriesImmediately;
        this.maxTries = parts.maxTries;
        this.zone = parts.zone;
    }

    /** When it leaves. */
    get givesUpAtMs(): number {
        return this.arrivedAtMs + this.patienceMs;
    }

    /** Whether it had its answer while that was of full use. */
    get isWithinObjective(): boolean {
        return this.answeredAtMs !== undefined && this.answeredAtMs - this.arrivedAtMs <= this.kind.objectiveMs;
    }

    /** @returns whether it waits for an answer */
    isWaiting(nowMs: number): boolean {
        return this.end === undefined && nowMs < this.givesUpAtMs;
    }
}
