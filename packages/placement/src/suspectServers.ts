import { initialSuspicionMs, maxSuspicionMs } from "./constants.js";

interface Suspicion {
    readonly failures: number;
    readonly untilMs: number;
    /** Whether nothing but unanswered questions for its load speaks against it. */
    readonly onlySilent: boolean;
}

/**
 * Backend servers that failed requests lately while their health check was good. A suspected server is chosen last; once
 * its time is over, the next request tries it, and each further failure doubles the time. It never leaves the choice
 * altogether, so that a fault which all servers share can't empty a service.
 */
export class SuspectServers {
    readonly #suspicions = new Map<string, Suspicion>();

    onFailure(serverId: string, nowMs: number): void {
        this.#suspect(serverId, nowMs, false);
    }

    /** A server didn't tell its load. */
    onProbeUnanswered(serverId: string, nowMs: number): void {
        this.#suspect(serverId, nowMs, this.#suspicions.get(serverId)?.onlySilent ?? true);
    }

    /**
     * A server told its load: that it was silent before says nothing more. A suspected server gets no trial request, so without
     * this a version on trial gets none for up to `longestSuspicionMs` after a moment in which this process was slow.
     */
    onProbeResponse(serverId: string): void {
        if (this.#suspicions.get(serverId)?.onlySilent === true) {
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

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#suspicions.keys()) {
            if (!serverIds.has(serverId)) {
                this.#suspicions.delete(serverId);
            }
        }
    }

    #suspect(serverId: string, nowMs: number, onlySilent: boolean): void {
        const failures = (this.#suspicions.get(serverId)?.failures ?? 0) + 1;
        const lastsMs = Math.min(maxSuspicionMs, initialSuspicionMs * 2 ** (failures - 1));
        this.#suspicions.set(serverId, { failures, untilMs: nowMs + lastsMs, onlySilent });
    }
}
