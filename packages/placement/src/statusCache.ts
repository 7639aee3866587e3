import { GoodChanceEstimator } from "./goodChanceEstimator.js";
import { type ServerStatus } from "./serverStatus.js";

/** What a backend server said of itself last. */
export interface CachedStatus {
    readonly status: ServerStatus;
    /** When it was asked, or when the answer came that said so. */
    readonly observedAtMs: number;
    /** Whether it was good then. */
    readonly wasGood: boolean;
    /** When it was last asked itself. Whether it is cold it says only then. */
    readonly probedAtMs: number;
}

/**
 * What the backend servers of one service said of their load last, for all requests of the process. Under high load several
 * requests look for a server within the time that an answer stays true; each asking for itself, they would keep gateways
 * and servers busy with questions alone.
 */
export class StatusCache {
    readonly #latest = new Map<string, CachedStatus>();
    readonly #chances = new GoodChanceEstimator();

    /** @param wasAsked - whether the server was asked; otherwise its load came with the answer to a request */
    onStatus(offer: ServerStatus, isGood: boolean, atMs: number, wasAsked: boolean): void {
        const before = this.#latest.get(offer.serverId);
        if (before !== undefined && before.observedAtMs > atMs) {
            return;
        }
        this.#chances.onObservation(isGood, before && { wasGood: before.wasGood, ageMs: atMs - before.observedAtMs });
        const askedAtMs = wasAsked ? atMs : before?.probedAtMs ?? -Infinity;
        this.#latest.set(offer.serverId, { status: offer, observedAtMs: atMs, wasGood: isGood, probedAtMs: askedAtMs });
    }

    /** What it said is not to be relied on any more. */
    invalidate(serverId: string): void {
        this.#latest.delete(serverId);
    }

    get(serverId: string): CachedStatus | undefined {
        return this.#latest.get(serverId);
    }

    /**
     * @param isGood - whether it would still be good by what it said and what was sent since
     * @returns the chance that the server is good now, from 0 to 1
     */
    goodChanceOf(serverId: string, isGood: boolean, nowMs: number): number {
        const last = this.#latest.get(serverId);
        return this.#chances.goodChanceOf(last && { wasGood: isGood, ageMs: nowMs - last.observedAtMs });
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#latest.keys()) {
            if (!serverIds.has(serverId)) {
                this.#latest.delete(serverId);
            }
        }
    }
}
