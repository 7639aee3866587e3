import { initialLatencyShare, latencyWeight } from "./constants.js";

/**
 * Typical latency of each service's requests on a server that is neither slow nor full, as a moving average of
 * responses.
 */
export class TypicalLatency {
    readonly #meanMs = new Map<string, number>();

    /**
     * Records a response.
     *
     * @param service - name of the service
     * @param tookMs - time from the send to the complete response
     * @param factor - slowdown that was expected of the server, by which the sample is divided
     */
    onResponse(service: string, tookMs: number, factor: number): void {
        const normalizedMs = tookMs / Math.max(1, factor);
        const previousMs = this.#meanMs.get(service) ?? normalizedMs;
        this.#meanMs.set(service, previousMs + (normalizedMs - previousMs) * latencyWeight);
    }

    /** @returns the typical latency in milliseconds; before the first response, an estimate from the objective */
    of(service: string, objectiveMs: number): number {
        return this.#meanMs.get(service) ?? objectiveMs * initialLatencyShare;
    }
}
