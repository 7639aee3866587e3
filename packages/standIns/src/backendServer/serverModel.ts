/** Capacity of one backend server. */
export interface ServerCapacity {
    /** Number of requests that run concurrently. */
    readonly slots: number;
    /** Number of requests that may wait for a slot; further ones are shed. */
    readonly queueLimit: number;
    /** Concurrency limit right after the server turned cold. */
    readonly coldConcurrency: number;
    /** Successful responses until the server is warm. */
    readonly answersToWarm: number;
    /** How long the server sends only delayed errors after it was overloaded while cold, in milliseconds. */
    readonly overloadRecoveryMs: number;
}

/** Capacity of a backend server in the users' deployment. */
export const defaultServerCapacity: ServerCapacity = {
    slots: 3,
    queueLimit: 12,
    coldConcurrency: 1,
    answersToWarm: 20,
    overloadRecoveryMs: 3_000,
};

/** State that a server reports. */
export type ServerState = "warm" | "cold" | "leaving";

/** Decision on an incoming request; `fallOver` runs it and ends it with a delayed error. */
export type AdmissionDecision = "run" | "queue" | "shed" | "fallOver";

/** State machine of the stand-in backend server: admission, warm-up and overload while cold. */
export class ServerModel {
    readonly #capacity: ServerCapacity;
    #isWarm: boolean;
    #isLeaving = false;
    #successfulResponses = 0;
    #running = 0;
    #queued = 0;
    #overloadedUntilMs = -Infinity;
    #incarnationCount = 1;
    #coldOverloads = 0;

    constructor(capacity: ServerCapacity, startsWarm: boolean) {
        this.#capacity = capacity;
        this.#isWarm = startsWarm;
    }

    get state(): ServerState {
        if (this.#isLeaving) {
            return "leaving";
        }
        return this.#isWarm ? "warm" : "cold";
    }

    get isCold(): boolean {
        return !this.#isWarm;
    }

    /** Number of incarnations; increases with each restart. */
    get incarnationCount(): number {
        return this.#incarnationCount;
    }

    /** Running and queued requests. */
    get inFlight(): number {
        return this.#running + this.#queued;
    }

    /** Requests that exceeded the concurrency limit of the cold server. */
    get coldOverloads(): number {
        return this.#coldOverloads;
    }

    /** Current limit on requests in flight; while cold, it grows with each successful response. */
    get concurrencyLimit(): number {
        const { slots, coldConcurrency, answersToWarm } = this.#capacity;
        if (this.#isWarm) {
            return slots;
        }
        return coldConcurrency + Math.floor(this.#successfulResponses * (slots - coldConcurrency) / answersToWarm);
    }

    /**
     * Decides on one request. `run` and `fallOver` hold a slot until {@link onRequestEnded}; `queue` waits for a slot
     * from {@link startQueued}.
     *
     * @param nowMs - the current time in milliseconds
     * @returns the decision
     */
    admit(nowMs: number): AdmissionDecision {
        if (this.#isWarm && this.inFlight >= this.#capacity.slots + this.#capacity.queueLimit) {
            return "shed";
        }
        if (nowMs < this.#overloadedUntilMs) {
            this.#running++;
            return "fallOver";
        }
        if (!this.#isWarm) {
            return this.#admitCold(nowMs);
        }
        if (this.#running < this.#capacity.slots) {
            this.#running++;
            return "run";
        }
        this.#queued++;
        return "queue";
    }

    /** Moves one queued request to a free slot. @returns whether a request was moved */
    startQueued(): boolean {
        if (this.#queued === 0 || this.#running >= this.#capacity.slots) {
            return false;
        }
        this.#queued--;
        this.#running++;
        return true;
    }

    /** Removes a queued request that was cancelled or timed out before it ran. */
    removeQueued(): void {
        this.#queued--;
    }

    /** Frees the slot of a running request. @param succeeded - whether the request succeeded */
    onRequestEnded(succeeded: boolean): void {
        this.#running--;
        if (!succeeded || this.#isWarm) {
            return;
        }
        this.#successfulResponses++;
        this.#isWarm = this.#successfulResponses >= this.#capacity.answersToWarm;
    }

    /** @param restarted - whether a new incarnation is reported; otherwise the change is unannounced */
    turnCold(restarted: boolean): void {
        this.#isWarm = false;
        this.#successfulResponses = 0;
        if (restarted) {
            this.#incarnationCount++;
        }
    }

    startLeaving(): void {
        this.#isLeaving = true;
    }

    #admitCold(nowMs: number): AdmissionDecision {
        this.#running++;
        if (this.#running + this.#queued <= this.concurrencyLimit) {
            return "run";
        }
        this.#coldOverloads++;
        this.#successfulResponses = 0;
        this.#overloadedUntilMs = nowMs + this.#capacity.overloadRecoveryMs;
        return "fallOver";
    }
}
