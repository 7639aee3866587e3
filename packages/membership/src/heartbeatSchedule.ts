/** Schedules heartbeats: tracks the last heartbeat to each peer and determines which are due. */
export class HeartbeatSchedule {
    readonly #intervalMs: number;
    readonly #sentAtMs = new Map<string, number>();
    readonly #inFlight = new Set<string>();
    #urgent = new Set<string>();

    constructor(intervalMs: number) {
        this.#intervalMs = intervalMs;
    }

    /** Makes heartbeats to these peers due immediately, regardless of the interval and the traffic budget. */
    markUrgent(addresses: readonly string[]): void {
        this.#urgent = new Set(addresses);
    }

    isUrgent(address: string): boolean {
        return this.#urgent.has(address);
    }

    /**
     * @param addresses - addresses of all peers
     * @returns addresses of the peers to be called now, the one with the oldest heartbeat first
     */
    due(addresses: readonly string[], nowMs: number): readonly string[] {
        const current = new Set(addresses);
        for (const address of this.#sentAtMs.keys()) {
            if (!current.has(address)) {
                this.#sentAtMs.delete(address);
            }
        }
        const dueAddresses: string[] = [];
        for (const address of current) {
            const sentAtMs = this.#sentAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
            if (this.#inFlight.has(address)) {
                continue;
            }
            if (this.#urgent.has(address) || nowMs >= sentAtMs + this.#intervalMs) {
                dueAddresses.push(address);
            }
        }
        return dueAddresses.sort((a, b) => this.#lastSentAtMs(a) - this.#lastSentAtMs(b));
    }

    onSent(address: string, nowMs: number): void {
        this.#sentAtMs.set(address, nowMs);
        this.#inFlight.add(address);
        this.#urgent.delete(address);
    }

    onEnded(address: string): void {
        this.#inFlight.delete(address);
    }

    #lastSentAtMs(address: string): number {
        return this.#sentAtMs.get(address) ?? Number.NEGATIVE_INFINITY;
    }
}
