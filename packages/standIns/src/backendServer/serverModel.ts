/** What one backend server can bear. */
export interface ServerCapacity {
    /** Requests that it runs at the same time. */
    readonly slots: number;
    /** Requests that may wait for a slot; more are shed. */
    readonly queueLimit: number;
    /** Requests in flight that it bears right after it turned cold. */
    readonly coldConcurrency: number;
    /** Good answers until it is warm. */
    readonly answersToWarm: number;
    /** How long it answers nothing but late errors after it fell over, in milliseconds. */
    readonly overloadRecoveryMs: number;
}

/** Capacity of the users' backend servers. */
export const defaultServerCapacity: ServerCapacity = {
    slots: 3,
    queueLimit: 12,
    coldConcurrency: 1,
    answersToWarm: 20,
    overloadRecoveryMs: 3_000,
};

/** How a server describes itself. */
export type ServerState = "warm" | "cold" | "leaving";

/** What happens to an arriving request. */
export type AdmissionDecision = "run" | "queue" | "shed" | "fallOver";

/** The decisions of the stand-in backend server: what it takes, when it is warm and when it falls over. */
export class ServerModel {
    readonly #capacity: ServerCapacity;
    #warm: boolean;
    #leaving = false;
    #goodAnswers = 0;
    #running = 0;
    #queued = 0;
    #fallenUntilMs = -Infinity;
    #lives = 1;
    #overloads = 0;

    constructor(capacity: ServerCapacity, startsWarm: boolean) {
        this.#capacity = capacity;
        this.#warm = startsWarm;
    }

    get state(): ServerState {
        if (this.#leaving) {
            return "leaving";
        }
        return this.#warm ? "warm" : "cold";
    }

    get isCold(): boolean {
        return !this.#warm;
    }

    /** Rises when the server is restarted. */
    get incarnationCount(): number {
        return this.#lives;
    }

    /** Requests here, those waiting for a slot included. */
    get inFlight(): number {
        return this.#running + this.#queued;
    }

    /** How often a cold server was given more than it bears. */
    get coldOverloads(): number {
        return this.#overloads;
    }

    /** Requests in flight that it can stand now; grows with the work done while cold. */
    get concurrencyLimit(): number {
        const { slots, coldConcurrency, answersToWarm } = this.#capacity;
        if (this.#warm) {
            return slots;
        }
        return coldConcurrency + Math.floor(this.#goodAnswers * (slots - coldConcurrency) / answersToWarm);
    }

    /**
     * Takes in one request. `run` and `fallOver` hold a slot until {@link onRequestEnded}, `queue` waits for {@link startQueued}.
     *
     * @param nowMs - the present time in milliseconds
     */
    admit(nowMs: number): AdmissionDecision {
        if (this.#warm && this.inFlight >= this.#capacity.slots + this.#capacity.queueLimit) {
            return "shed";
        }
        if (nowMs < this.#fallenUntilMs) {
            this.#running++;
            return "fallOver";
        }
        if (!this.#warm) {
            return this.#admitCold(nowMs);
        }
        if (this.#running < this.#capacity.slots) {
            this.#running++;
            return "run";
        }
        this.#queued++;
        return "queue";
    }

    /** Moves one waiting request to a slot. @returns whether one was free */
    startQueued(): boolean {
        if (this.#queued === 0 || this.#running >= this.#capacity.slots) {
            return false;
        }
        this.#queued--;
        this.#running++;
        return true;
    }

    /** A waiting request was given up before it ran. */
    removeQueued(): void {
        this.#queued--;
    }

    /** A running request ended. @param good - whether its work was done */
    onRequestEnded(good: boolean): void {
        this.#running--;
        if (!good || this.#warm) {
            return;
        }
        this.#goodAnswers++;
        this.#warm = this.#goodAnswers >= this.#capacity.answersToWarm;
    }

    /** @param restarted - whether it shows as a new incarnation, or comes without any warning */
    turnCold(restarted: boolean): void {
        this.#warm = false;
        this.#goodAnswers = 0;
        if (restarted) {
            this.#lives++;
        }
    }

    startLeaving(): void {
        this.#leaving = true;
    }

    #admitCold(nowMs: number): AdmissionDecision {
        this.#running++;
        if (this.#running + this.#queued <= this.concurrencyLimit) {
            return "run";
        }
        this.#overloads++;
        this.#goodAnswers = 0;
        this.#fallenUntilMs = nowMs + this.#capacity.overloadRecoveryMs;
        return "fallOver";
    }
}
