interface Entry {
    /** Infinite until the gateway has spoken. */
    inFlight: number;
    /** By then all that it sent has ended, whatever it says. */
    readonly untilMs: number;
}

/**
 * What other gateways may still have in flight at a server when one begins to warm it up. Without it a new holder
 * would fill the server while an earlier holder's requests, or those sent while it was warm, still run there.
 */
export class InheritedRequests {
    readonly #entries = new Map<string, Entry>();
    readonly #openedAtMs: number;

    /**
     * @param openedAtMs - since when no other gateway can send to the server
     * @param gateways - who may have sent to it before, with the time by which all of it has ended
     */
    constructor(openedAtMs: number, gateways: ReadonlyMap<string, number>) {
        this.#openedAtMs = openedAtMs;
        for (const [gateway, untilMs] of gateways) {
            this.#entries.set(gateway, { inFlight: Number.POSITIVE_INFINITY, untilMs });
        }
    }

    /**
     * A word counts only if it was asked for after the opening: an older one may be followed by more work.
     *
     * @param gateway - who spoke
     * @param askedAtMs - time before it was asked
     * @param inFlight - what it has in flight at the server
     */
    onReport(gateway: string, askedAtMs: number, inFlight: number): void {
        const entry = this.#entries.get(gateway);
        if (entry === undefined || askedAtMs < this.#openedAtMs) {
            return;
        }
        entry.inFlight = Math.min(entry.inFlight, inFlight);
        if (entry.inFlight === 0) {
            this.#entries.delete(gateway);
        }
    }

    /**
     * @param nowMs - the present time
     * @returns requests of others that may still run; infinite while a gateway that has not spoken may have some
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
