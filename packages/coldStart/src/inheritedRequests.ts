interface Entry {
    /** Infinite until the gateway has reported. */
    inFlight: number;
    /** Time by which all requests of the gateway have ended, with or without a report. */
    readonly untilMs: number;
}

/**
 * Requests that other gateways may still have in flight at a server when this gateway starts to warm it up. Without
 * them, a new permit holder would overload the server while requests of an earlier holder, or those sent while the
 * server was warm, still run there.
 */
export class InheritedRequests {
    readonly #entries = new Map<string, Entry>();
    readonly #startedAtMs: number;

    /**
     * @param startedAtMs - monotonic time since which no other gateway can send to the server
     * @param gateways - gateways that may have sent to it before, with the time by which all their requests have ended
     */
    constructor(startedAtMs: number, gateways: ReadonlyMap<string, number>) {
        this.#startedAtMs = startedAtMs;
        for (const [gateway, untilMs] of gateways) {
            this.#entries.set(gateway, { inFlight: Number.POSITIVE_INFINITY, untilMs });
        }
    }

    /**
     * Records a gateway's report. Reports requested before the start of this period are ignored, since the gateway may
     * have sent more requests afterwards.
     *
     * @param gateway - the reporting gateway
     * @param requestedAtMs - monotonic time before the report was requested
     * @param inFlight - number of requests that the gateway has in flight at the server
     */
    onReport(gateway: string, requestedAtMs: number, inFlight: number): void {
        const entry = this.#entries.get(gateway);
        if (entry === undefined || requestedAtMs < this.#startedAtMs) {
            return;
        }
        entry.inFlight = Math.min(entry.inFlight, inFlight);
        if (entry.inFlight === 0) {
            this.#entries.delete(gateway);
        }
    }

    /**
     * @param nowMs - current monotonic time
     * @returns number of requests of other gateways that may still run; infinite while one that has not reported may
     * have some
     */
    countInFlight(nowMs: number): number {
        let total = 0;
        for (const [gateway, entry] of this.#entries) {
            if (nowMs >= entry.untilMs) {
                this.#entries.delete(gateway);
            }
            else {
                total += entry.inFlight;
            }
        }
        return total;
    }
}
