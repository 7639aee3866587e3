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
    readonly #estimator = new GoodChanceEstimator();

    /**
     * @param isProbeResponse - whether the status is a probe response; otherwise the load came with the response to a
     * request
     */
    onStatus(status: ServerStatus, isGood: boolean, observedAtMs: number, isProbeResponse: boolean): void {
        const previous = this.#latest.get(status.serverId);
        if (previous !== undefined && previous.observedAtMs > observedAtMs) {
            return;
        }
        this.#estimator.onObservation(
            isGood,
            previous && { wasGood: previous.wasGood, ageMs: observedAtMs - previous.observedAtMs },
        );
        const probedAtMs = isProbeResponse ? observedAtMs : previous?.probedAtMs ?? -Infinity;
        this.#latest.set(status.serverId, { status, observedAtMs, wasGood: isGood, probedAtMs });
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
        const latest = this.#latest.get(serverId);
        return this.#estimator.goodChanceOf(latest && { wasGood: isGood, ageMs: nowMs - latest.observedAtMs });
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
