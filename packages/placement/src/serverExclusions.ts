import { type RegisteredServer } from "@galenaglade/fleet-state";
import { maxRememberedRemovedServers } from "./constants.js";

/** What an answer of a backend server says of a rest that it wants from the gateway that it answers. */
export type ParsedBackoff =
    | { readonly type: "none"; }
    | { readonly type: "asked"; readonly forMs: number; }
    /** Something that is no time; it says nothing. */
    | { readonly type: "malformed"; readonly text: string; };

/** Why a server gets nothing of this gateway, by its own word. */
export type ServerExclusion =
    | { readonly type: "resting"; readonly forMs: number; }
    | { readonly type: "leaving"; };

interface Rest {
    readonly startedAtEpochMs: number | undefined;
    readonly untilMs: number;
}

/**
 * What backend servers have told this gateway of rest and of leaving. Both are one server's word to one gateway, and bind this
 * gateway alone; a server that was started again under its id has said neither.
 */
export class ServerExclusions {
    readonly #rests = new Map<string, Rest>();
    /** Starts of the lives that leave. */
    readonly #leaving = new Map<string, number | undefined>();

    /** @returns when the rest ends, where that is later than was known */
    onBackoff({ id, startedAtEpochMs }: RegisteredServer, forMs: number, nowMs: number): number | undefined {
        const known = this.#rests.get(id);
        const untilMs = nowMs + forMs;
        if (
            forMs <= 0
            || (known !== undefined && known.startedAtEpochMs === startedAtEpochMs && known.untilMs >= untilMs)
        ) {
            return undefined;
        }
        this.#rests.set(id, { startedAtEpochMs, untilMs });
        return untilMs;
    }

    /** @returns whether that is new */
    onLeaving(server: RegisteredServer): boolean {
        if (this.#isLeaving(server)) {
            return false;
        }
        this.#leaving.delete(server.id);
        this.#leaving.set(server.id, server.startedAtEpochMs);
        return true;
    }

    /** @returns why the server gets nothing now; `undefined` where it may get something */
    exclusionOf(server: RegisteredServer, nowMs: number): ServerExclusion | undefined {
        if (this.#isLeaving(server)) {
            return { type: "leaving" };
        }
        const rest = this.#rests.get(server.id);
        return rest !== undefined && rest.startedAtEpochMs === server.startedAtEpochMs && nowMs < rest.untilMs
            ? { type: "resting", forMs: rest.untilMs - nowMs }
            : undefined;
    }

    /** Forgets servers that are long gone. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const kept of [this.#rests, this.#leaving]) {
            dropGone(kept, serverIds);
        }
    }

    #isLeaving({ id, startedAtEpochMs }: RegisteredServer): boolean {
        return this.#leaving.has(id) && this.#leaving.get(id) === startedAtEpochMs;
    }
}

/** A server whose entry is gone may write it again, after an outage of the store: of these a bounded number is remembered. */
function dropGone(kept: Map<string, unknown>, serverIds: ReadonlySet<string>): void {
    for (const serverId of kept.keys()) {
        if (kept.size <= maxRememberedRemovedServers) {
            return;
        }
        if (!serverIds.has(serverId)) {
            kept.delete(serverId);
        }
    }
}
