import { arrivalDecayMs, maxReservedShare } from "./constants.js";

interface RecentArrivals {
    count: number;
    atMs: number;
}

/**
 * Recent mix of request priorities by service, as seen by this gateway. While slots are scarce, requests leave as many
 * slots of each server free as requests of higher priority need. Without this reservation all priorities would be
 * rejected at the same rate, including the requests that matter most to callers.
 */
export class PriorityMix {
    /** Decayed arrival counts by service and priority. */
    readonly #arrivals = new Map<string, Map<number, RecentArrivals>>();

    /** Records the arrival of a request. @param priority - 0 is the highest priority */
    onRequest(service: string, priority: number, nowMs: number): void {
        const arrivals = this.#arrivals.get(service) ?? new Map<number, RecentArrivals>();
        this.#arrivals.set(service, arrivals);
        const recent = arrivals.get(priority) ?? { count: 0, atMs: nowMs };
        recent.count = decay(recent, nowMs) + 1;
        recent.atMs = nowMs;
        arrivals.set(priority, recent);
    }

    /** @returns number of a server's slots that are reserved for requests of higher priority */
    reservedSlots(service: string, priority: number, slots: number, nowMs: number): number {
        let total = 0;
        let higherPriority = 0;
        for (const [otherPriority, recent] of this.#arrivals.get(service) ?? []) {
            const count = decay(recent, nowMs);
            total += count;
            higherPriority += otherPriority < priority ? count : 0;
        }
        return total === 0 ? 0 : Math.round(slots * Math.min(maxReservedShare, higherPriority / total));
    }
}

function decay({ count, atMs }: RecentArrivals, nowMs: number): number {
    return count * Math.exp((atMs - nowMs) / arrivalDecayMs);
}
