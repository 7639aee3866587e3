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

    /** Records the arrival of a request. @param rank - 0 is the highest priority */
    onRequest(service: string, rank: number, nowMs: number): void {
        const ranks = this.#arrivals.get(service) ?? new Map<number, RecentArrivals>();
        this.#arrivals.set(service, ranks);
        const recent = ranks.get(rank) ?? { count: 0, atMs: nowMs };
        recent.count = fade(recent, nowMs) + 1;
        recent.atMs = nowMs;
        ranks.set(rank, recent);
    }

    /** @returns number of a server's slots that are reserved for requests of higher priority */
    reservedSlots(service: string, rank: number, slots: number, nowMs: number): number {
        let all = 0;
        let moreUrgent = 0;
        for (const [other, recent] of this.#arrivals.get(service) ?? []) {
            const count = fade(recent, nowMs);
            all += count;
            moreUrgent += other < rank ? count : 0;
        }
        return all === 0 ? 0 : Math.round(slots * Math.min(maxReservedShare, moreUrgent / all));
    }
}

function fade({ count, atMs }: RecentArrivals, nowMs: number): number {
    return count * Math.exp((atMs - nowMs) / arrivalDecayMs);
}
