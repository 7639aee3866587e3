import { maxHedgeShare, repeatBudgetShare } from "./constants.js";

/** What the whole fleet may send beyond the first send of each request, a service, in one window. */
export interface RepeatAllowance {
    /** Share of the requests. */
    readonly ratio: number;
    /** Besides the share. */
    readonly slack: number;
    readonly windowMs: number;
}

interface ServiceWindow {
    readonly requestsAtMs: number[];
    readonly repeatsAtMs: number[];
}

/**
 * This gateway's part of the fleet's allowance for repeats: the share of its own requests, and of the fixed part what
 * one of so many gateways gets. The parts of all gateways add up to less than the whole without a message between them.
 * Without a limit each request of a service in trouble arrives several times, and the service stays down after the
 * cause is gone.
 */
export class RepeatBudget {
    readonly #allowance: RepeatAllowance;
    readonly #startedAtMs: number;
    readonly #windows = new Map<string, ServiceWindow>();

    constructor(allowance: RepeatAllowance, startedAtMs: number) {
        this.#allowance = allowance;
        this.#startedAtMs = startedAtMs;
    }

    /** A caller's request for the service has arrived. */
    onRequest(service: string, nowMs: number): void {
        this.#windowOf(service, nowMs).requestsAtMs.push(nowMs);
    }

    /** @returns what may still be repeated now */
    remaining(service: string, gateways: number, nowMs: number): number {
        return this.#limit(service, gateways, nowMs) - this.#windowOf(service, nowMs).repeatsAtMs.length;
    }

    /**
     * @param service - the service
     * @param purpose - hedges leave a part of the allowance to retries
     * @param gateways - how many share the allowance
     * @param nowMs - the present time
     * @returns whether one repeat may be sent; it is counted where it may
     */
    take(service: string, purpose: "retry" | "hedge", gateways: number, nowMs: number): boolean {
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
        // A process that was restarted doesn't know what it has repeated before, so its fixed part grows from nothing.
        const grown = Math.min(1, (nowMs - this.#startedAtMs) / windowMs);
        const fixed = gateways === 0 ? 0 : slack * repeatBudgetShare * grown / gateways;
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
