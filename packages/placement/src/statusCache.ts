import { GoodChanceEstimator } from "./goodChanceEstimator.js";
import { type ServerStatus } from "./serverStatus.js";

/** The latest status of a backend server. */
export interface CachedStatus {
    readonly status: ServerStatus;
    /** When the probe was sent, or when the response that carried the load arrived. */
    readonly observedAtMs: number;
    /** Whether the server was good at that time. */
    readonly wasGood: boolean;
    /** When the server was last probed. Only probe responses report a cold start. */
    readonly probedAtMs: number;
}

/**
 * Latest status of the backend servers of one service, shared by all requests of the process. Under high load several
 * requests look for a server while a status is still valid. If each of them probed on its own, gateways and servers
 * would be busy with probes alone.
 */
export class StatusCache {
    readonly #latest = new Map<string, CachedStatus>();
    readonly #chances = new GoodChanceEstimator();

    /**
     * @param wasAsked - whether the status is a probe response; otherwise the load came with the response to a request
     */
    onStatus(offer: ServerStatus, isGood: boolean, atMs: number, wasAsked: boolean): void {
        const before = this.#latest.get(offer.serverId);
        if (before !== undefined && before.observedAtMs > atMs) {
            return;
        }
        this.#chances.onObservation(isGood, before && { wasGood: before.wasGood, ageMs: atMs - before.observedAtMs });
        const askedAtMs = wasAsked ? atMs : before?.probedAtMs ?? -Infinity;
        this.#latest.set(offer.serverId, { status: offer, observedAtMs: atMs, wasGood: isGood, probedAtMs: askedAtMs });
    }

    /** Drops the server's status because it can no longer be relied on. */
    invalidate(serverId: string): void {
        this.#latest.delete(serverId);
    }

    /** @returns the server's latest status, if there is one */
    get(serverId: string): CachedStatus | undefined {
        return this.#latest.get(serverId);
    }

    /**
     * @param isGood - whether the server still counts as good by its latest status and the requests sent since
     * @returns the probability that the server is good now, from 0 to 1
     */
    goodChanceOf(serverId: string, isGood: boolean, nowMs: number): number {
        const last = this.#latest.get(serverId);
        return this.#chances.goodChanceOf(last && { wasGood: isGood, ageMs: nowMs - last.observedAtMs });
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#latest.keys()) {
            if (!serverIds.has(serverId)) {
                this.#latest.delete(serverId);
            }
        }
    }
}
