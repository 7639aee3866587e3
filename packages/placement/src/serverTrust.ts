import { firstSuspicionMs, longestSuspicionMs } from "./constants.js";

interface Suspicion {
    readonly failures: number;
    readonly untilMs: number;
}

/**
 * Backend servers that failed requests lately while their health check was good. A suspected server is chosen last; once
 * its time is over, the next request tries it, and each further failure doubles the time. It never leaves the choice
 * altogether, so that a fault which all servers share can't empty a service.
 */
export class ServerTrust {
    readonly #suspicions = new Map<string, Suspicion>();

    onFailure(serverId: string, nowMs: number): void {
        const failures = (this.#suspicions.get(serverId)?.failures ?? 0) + 1;
        const lastsMs = Math.min(longestSuspicionMs, firstSuspicionMs * 2 ** (failures - 1));
        this.#suspicions.set(serverId, { failures, untilMs: nowMs + lastsMs });
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
}
