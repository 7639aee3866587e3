import { type RequestKind } from "./scenario.js";

/** Final outcome of a caller's request. */
export type CallerEnd = "answered" | "refused" | "failed" | "gaveUp";

/** A caller with one request and all its tries. */
export class SimulatedCaller {
    readonly kind: RequestKind;
    readonly workMs: number;
    readonly arrivedAtMs: number;
    /** Time from its arrival until the caller gives up, in milliseconds. */
    readonly patienceMs: number;
    /** Whether the caller ignores Retry-After and retries immediately. */
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

    /** Time at which the caller gives up, in milliseconds. */
    get givesUpAtMs(): number {
        return this.arrivedAtMs + this.patienceMs;
    }

    /** Whether the caller received its response within the latency objective. */
    get isWithinObjective(): boolean {
        return this.answeredAtMs !== undefined && this.answeredAtMs - this.arrivedAtMs <= this.kind.objectiveMs;
    }

    /** @returns whether the caller is still waiting for a response */
    isWaiting(nowMs: number): boolean {
        return this.end === undefined && nowMs < this.givesUpAtMs;
    }
}
