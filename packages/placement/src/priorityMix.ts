import { arrivalDecayMs, maxReservedShare } from "./constants.js";

interface RecentArrivals {
    count: number;
    atMs: number;
}

/**
 * How many of a service's requests are more urgent than others, as this gateway saw lately. While slots are short, less
 * urgent requests leave as many of each server's slots as the more urgent ones need; without that all ranks are turned away
 * alike, and what is worth most to callers goes under with what is worth least.
 */
export class PriorityMix {
    /** Arrivals by service and rank. */
    readonly #arrivals = new Map<string, Map<number, RecentArrivals>>();

    /** @param rank - 0 is the most urgent */
    onRequest(service: string, rank: number, nowMs: number): void {
        const ranks = this.#arrivals.get(service) ?? new Map<number, RecentArrivals>();
        this.#arrivals.set(service, ranks);
        const recent = ranks.get(rank) ?? { count: 0, atMs: nowMs };
        recent.count = fade(recent, nowMs) + 1;
        recent.atMs = nowMs;
        ranks.set(rank, recent);
    }

    /** @returns slots of a server that a request leaves to more urgent ones */
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
