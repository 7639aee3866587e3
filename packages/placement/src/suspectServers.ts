import { initialSuspicionMs, maxSuspicionMs } from "./constants.js";

interface Suspicion {
    readonly failures: number;
    readonly untilMs: number;
    /** Whether all failures were unanswered load probes. */
    readonly onlyUnanswered: boolean;
}

/**
 * Backend servers that recently failed requests although their health checks pass. A suspected server is chosen last.
 * After the suspicion has ended, the next request may try the server; each further failure doubles the time. Unlike
 * with outlier ejection, the server stays selectable, so that a fault which all servers share can't leave a service
 * without servers.
 */
export class SuspectServers {
    readonly #suspicions = new Map<string, Suspicion>();

    onFailure(serverId: string, nowMs: number): void {
        this.#suspect(serverId, nowMs, false);
    }

    /** Records a load probe that the server didn't answer. */
    onProbeUnanswered(serverId: string, nowMs: number): void {
        this.#suspect(serverId, nowMs, this.#suspicions.get(serverId)?.onlyUnanswered ?? true);
    }

    /**
     * Ends a suspicion that is due to unanswered probes alone. A suspected server gets no trial requests of a rollout.
     * Without this, a version on trial would get none for up to the maximum suspicion after a moment in which this
     * process was slow.
     */
    onProbeResponse(serverId: string): void {
        if (this.#suspicions.get(serverId)?.onlyUnanswered === true) {
            this.#suspicions.delete(serverId);
        }
    }

    onSuccess(serverId: string): void {
        this.#suspicions.delete(serverId);
    }

    isSuspect(serverId: string, nowMs: number): boolean {
        const suspicion = this.#suspicions.get(serverId);
        return suspicion !== undefined && nowMs < suspicion.untilMs;
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#suspicions.keys()) {
            if (!serverIds.has(serverId)) {
                this.#suspicions.delete(serverId);
            }
        }
    }

    #suspect(serverId: string, nowMs: number, onlyUnanswered: boolean): void {
        const failures = (this.#suspicions.get(serverId)?.failures ?? 0) + 1;
        const durationMs = Math.min(maxSuspicionMs, initialSuspicionMs * 2 ** (failures - 1));
        this.#suspicions.set(serverId, { failures, untilMs: nowMs + durationMs, onlyUnanswered });
    }
}
