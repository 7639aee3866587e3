import { type RegisteredServer } from "@galenaglade/fleet-state";
import { maxRememberedRemovedServers } from "./constants.js";

/** Back-off in a backend server's response: time for which the server asks this gateway to send nothing. */
export type ParsedBackoff =
    | { readonly type: "none"; }
    | { readonly type: "asked"; readonly forMs: number; }
    /** An invalid value, which is ignored. */
    | { readonly type: "malformed"; readonly text: string; };

/** Reason why this gateway sends nothing to a server, as reported by the server itself. */
export type ServerExclusion =
    | { readonly type: "resting"; readonly forMs: number; }
    | { readonly type: "leaving"; };

interface Backoff {
    readonly startedAtEpochMs: number | undefined;
    readonly untilMs: number;
}

/**
 * Servers that are excluded from placement because they asked this gateway to back off or reported that they are
 * leaving. Both apply to this gateway alone, and end when the server restarts under the same id.
 */
export class ServerExclusions {
    readonly #backoffs = new Map<string, Backoff>();
    /** Start times of the leaving servers, by server id. */
    readonly #leaving = new Map<string, number | undefined>();

    /** @returns when the back-off ends, if it has been extended */
    onBackoff({ id, startedAtEpochMs }: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        const current = this.#backoffs.get(id);
        const untilMs = nowMs + forMs;
        if (
            forMs <= 0
            || (current !== undefined && current.startedAtEpochMs === startedAtEpochMs && current.untilMs >= untilMs)
        ) {
            return undefined;
        }
        this.#backoffs.set(id, { startedAtEpochMs, untilMs });
        return untilMs;
    }

    /** @returns whether the server wasn't known to be leaving */
    onLeaving(server: RegisteredServer): boolean {
        if (this.#isLeaving(server)) {
            return false;
        }
        this.#leaving.delete(server.id);
        this.#leaving.set(server.id, server.startedAtEpochMs);
        return true;
    }

    /** @returns why the server is excluded now; `undefined` if it may be sent requests */
    exclusionOf(server: RegisteredServer, nowMs: number): ServerExclusion | undefined {
        if (this.#isLeaving(server)) {
            return { type: "leaving" };
        }
        const backoff = this.#backoffs.get(server.id);
        return backoff !== undefined && backoff.startedAtEpochMs === server.startedAtEpochMs && nowMs < backoff.untilMs
            ? { type: "resting", forMs: backoff.untilMs - nowMs }
            : undefined;
    }

    /** Drops entries of servers that are no longer registered, beyond a maximum number. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const entries of [this.#backoffs, this.#leaving]) {
            evictUnregistered(entries, serverIds);
        }
    }

    #isLeaving({ id, startedAtEpochMs }: RegisteredServer): boolean {
        return this.#leaving.has(id) && this.#leaving.get(id) === startedAtEpochMs;
    }
}

/**
 * A server without an entry may register again after an outage of the store, so a limited number of them is remembered.
 */
function evictUnregistered(entries: Map<string, unknown>, serverIds: ReadonlySet<string>): void {
    for (const serverId of entries.keys()) {
        if (entries.size <= maxRememberedRemovedServers) {
            return;
        }
        if (!serverIds.has(serverId)) {
            entries.delete(serverId);
        }
    }
}
