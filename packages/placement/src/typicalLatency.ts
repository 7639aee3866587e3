import { initialLatencyShare, latencyWeight } from "./constants.js";

/** How long a service's requests take on a server that is neither slow nor full, learnt from answers. */
export class TypicalLatency {
    readonly #meanMs = new Map<string, number>();

    /**
     * @param service - the service
     * @param tookMs - from sending to the whole answer
     * @param factor - how many times longer than usual it was expected to take
     */
    onResponse(service: string, tookMs: number, factor: number): void {
        const plainMs = tookMs / Math.max(1, factor);
        const before = this.#meanMs.get(service) ?? plainMs;
        this.#meanMs.set(service, before + (plainMs - before) * latencyWeight);
    }

    /** @returns the typical time, or a guess from the objective before any answer */
    of(service: string, objectiveMs: number): number {
        return this.#meanMs.get(service) ?? objectiveMs * initialLatencyShare;
    }
}
