import { maxHedgeShare, repeatBudgetShare } from "./constants.js";

/** Repeats (retries and hedged sends) that the whole fleet may send for each service in one window. */
export interface RepeatAllowance {
    /** Repeats as a share of the requests. */
    readonly ratio: number;
    /** Fixed number of repeats on top of that share. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Why a request is sent once more: its earlier send failed, or is late. */
export type RepeatPurpose = "retry" | "hedge";

/** One gateway's budget for one service. */
export interface RepeatBudgetState {
    /** Callers' requests within the last window. */
    readonly requests: number;
    /** Repeats within the last window. */
    readonly repeats: number;
    /** Repeats that are still allowed now; may be fractional or negative. */
    readonly remaining: number;
    /** Age of this process, in milliseconds; it knows of no repeats from before. */
    readonly sinceStartMs: number;
}

interface ServiceWindow {
    readonly requestsAtMs: number[];
    readonly repeatsAtMs: number[];
}

/**
 * This gateway's share of the fleet's allowance for repeats: a ratio of its own requests, plus an equal share of the
 * fixed part. The shares of all gateways add up to less than the allowance without coordination. Without a limit, a
 * failing service would get each request several times and stay overloaded after the original cause is gone.
 */
export class RepeatBudget {
    readonly #allowance: RepeatAllowance;
    readonly #startedAtMs: number;
    readonly #windows = new Map<string, ServiceWindow>();

    constructor(allowance: RepeatAllowance, startedAtMs: number) {
        this.#allowance = allowance;
        this.#startedAtMs = startedAtMs;
    }

    /** Records the arrival of a caller's request for the service. */
    onRequest(service: string, nowMs: number): void {
        this.#windowOf(service, nowMs).requestsAtMs.push(nowMs);
    }

    /** @returns the services that requests were recorded for */
    services(): readonly string[] {
        return [...this.#windows.keys()];
    }

    /** @returns the state of a service's budget, for logs and metrics */
    describe(service: string, gateways: number, nowMs: number): RepeatBudgetState {
        const { requestsAtMs, repeatsAtMs } = this.#windowOf(service, nowMs);
        return {
            requests: requestsAtMs.length,
            repeats: repeatsAtMs.length,
            remaining: this.#limit(service, gateways, nowMs) - repeatsAtMs.length,
            sinceStartMs: nowMs - this.#startedAtMs,
        };
    }

    /**
     * Takes one repeat from the budget.
     *
     * @param service - name of the service
     * @param purpose - hedges leave a share of the allowance to retries
     * @param gateways - number of gateways that share the allowance
     * @param nowMs - current time
     * @returns whether the repeat may be sent; if so, it has been counted
     */
    take(service: string, purpose: RepeatPurpose, gateways: number, nowMs: number): boolean {
        const window = this.#windowOf(service, nowMs);
        const limit = this.#limit(service, gateways, nowMs) * (purpose === "hedge" ? maxHedgeShare : 1);
        if (window.repeatsAtMs.length + 1 > limit) {
            return false;
        }
        window.repeatsAtMs.push(nowMs);
        return true;
    }

    #limit(service: string, gateways: number, nowMs: number): number {
        const { ratio, slack, windowMs } = this.#allowance;
        // A restarted process doesn't know the repeats that it sent before, so its fixed part grows from zero.
        const growth = Math.min(1, (nowMs - this.#startedAtMs) / windowMs);
        const fixed = gateways === 0 ? 0 : slack * repeatBudgetShare * growth / gateways;
        return this.#windowOf(service, nowMs).requestsAtMs.length * ratio + fixed;
    }

    #windowOf(service: string, nowMs: number): ServiceWindow {
        const window = this.#windows.get(service) ?? { requestsAtMs: [], repeatsAtMs: [] };
        this.#windows.set(service, window);
        const fromMs = nowMs - this.#allowance.windowMs;
        dropBefore(window.requestsAtMs, fromMs);
        dropBefore(window.repeatsAtMs, fromMs);
        return window;
    }
}

function dropBefore(timesMs: number[], fromMs: number): void {
    let count = 0;
    while (count < timesMs.length && (timesMs[count] ?? 0) < fromMs) {
        count++;
    }
    timesMs.splice(0, count);
}
