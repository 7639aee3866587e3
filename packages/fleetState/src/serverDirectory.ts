import { lapsedEntryGraceMs, tombstoneRetentionMs, storeReconnectWindowMs } from "./constants.js";
import { type RegisteredServer } from "./model.js";

/** A backend server with what this process makes of its entry. */
interface DirectoryEntry {
    readonly server: RegisteredServer;
    /** When the entry was found missing while the store had just come back; `undefined` while it is there. */
    readonly believedUntilMs: number | undefined;
}

/** The last entry of a server whose entry is gone. */
interface EndedServer {
    readonly server: RegisteredServer;
    readonly atMs: number;
}

/** What a change of the directory did to one backend server. */
export interface ServerChange {
    readonly id: string;
    readonly change: "added" | "restarted" | "draining" | "changed" | "lapsed" | "removed";
}

/**
 * The backend servers that registered themselves.
 *
 * While the store is away, servers can't renew their entries, and all of them may be gone from it when it returns.
 * Dropped at once, a whole service would be refused although every server of it works. So an entry that goes missing
 * around an outage is believed a little longer than living servers need to write it again.
 */
export class ServerDirectory {
    readonly #entries = new Map<string, DirectoryEntry>();
    readonly #byService = new Map<string, Set<string>>();
    readonly #ended = new Map<string, EndedServer>();
    #believeLapsedUntilMs = -Infinity;
    /** When the store was last found again. */
    #returnedAtMs = -Infinity;
    /** When the store last came back from an older copy. */
    #restoredAtMs = -Infinity;

    /**
     * @param server - as a whole reading has it
     * @returns whether it is an entry of before what is known: the store came back from an older copy
     */
    isOutdated(server: RegisteredServer): boolean {
        const known = this.#entries.get(server.id)?.server;
        if (known !== undefined) {
            return compareEntries(server, known) < 0;
        }
        const ended = this.#ended.get(server.id);
        const order = ended === undefined ? 1 : compareEntries(server, ended.server);
        return order < 0 || (order === 0 && ended !== undefined && ended.atMs < this.#restoredAtMs);
    }

    /** The store came back from an older copy. */
    onStoreRestored(nowMs: number): void {
        this.#restoredAtMs = nowMs;
        this.onStoreRecovered(nowMs);
    }

    /** The store has just come back after an outage: until when lapsed entries are believed. */
    onStoreRecovered(nowMs: number): void {
        this.#returnedAtMs = nowMs;
        this.#believeLapsedUntilMs = nowMs + lapsedEntryGraceMs;
    }

    /**
     * The store has been there without an outage since then. Where this process found it much later than others can have, it was cut
     * off itself: what lapsed in an outage before is believed no longer than by others, and what went missing later was deleted.
     */
    onStoreUpSince(sinceMs: number): void {
        const untilMs = sinceMs + lapsedEntryGraceMs;
        if (this.#returnedAtMs - sinceMs <= storeReconnectWindowMs || untilMs >= this.#believeLapsedUntilMs) {
            return;
        }
        this.#believeLapsedUntilMs = untilMs;
        for (const [id, { server, believedUntilMs }] of this.#entries) {
            if (believedUntilMs !== undefined && believedUntilMs > untilMs) {
                this.#put(id, { server, believedUntilMs: untilMs });
            }
        }
    }

    /** @returns whether any server is believed whose entry went missing */
    hasLapsedEntries(nowMs: number): boolean {
        for (const { believedUntilMs } of this.#entries.values()) {
            if (believedUntilMs !== undefined && nowMs < believedUntilMs) {
                return true;
            }
        }
        return false;
    }

    /** @returns what changed; `undefined` where the entry says nothing new */
    onEntry(server: RegisteredServer): ServerChange | undefined {
        const known = this.#entries.get(server.id)?.server;
        this.#ended.delete(server.id);
        this.#put(server.id, { server, believedUntilMs: undefined });
        const change = resolveChange(known, server);
        return change === undefined ? undefined : { id: server.id, change };
    }

    /** The entry is not in the store any more. */
    onEntryMissing(id: string, nowMs: number): ServerChange | undefined {
        const entry = this.#entries.get(id);
        if (entry === undefined || entry.believedUntilMs !== undefined) {
            return undefined;
        }
        this.#ended.set(id, { server: entry.server, atMs: nowMs });
        if (nowMs < this.#believeLapsedUntilMs && entry.server.state === "ready") {
            this.#put(id, { server: entry.server, believedUntilMs: this.#believeLapsedUntilMs });
            return { id, change: "lapsed" };
        }
        this.#remove(id);
        return { id, change: "removed" };
    }

    /** @returns the lapsed servers whose time is over, now removed */
    expire(nowMs: number): readonly ServerChange[] {
        const expired: ServerChange[] = [];
        for (const [id, { atMs }] of this.#ended) {
            if (nowMs - atMs >= tombstoneRetentionMs) {
                this.#ended.delete(id);
            }
        }
        for (const [id, { believedUntilMs }] of this.#entries) {
            if (believedUntilMs !== undefined && nowMs >= believedUntilMs) {
                this.#remove(id);
                expired.push({ id, change: "removed" });
            }
        }
        return expired;
    }

    get(id: string): RegisteredServer | undefined {
        return this.#entries.get(id)?.server;
    }

    /** Every server id that has an entry, or had one that is still believed. */
    ids(): readonly string[] {
        return [...this.#entries.keys()];
    }

    /** @returns the service's backend servers that may be given new work, for all that the store says */
    ready(service: string, nowMs: number): readonly RegisteredServer[] {
        const ready: RegisteredServer[] = [];
        for (const id of this.#byService.get(service) ?? []) {
            const server = this.#findReady(id, nowMs);
            if (server !== undefined) {
                ready.push(server);
            }
        }
        return ready;
    }

    /** @returns whether the server may be given new work, for all that the store says */
    isReady(id: string, nowMs: number): boolean {
        return this.#findReady(id, nowMs) !== undefined;
    }

    #findReady(id: string, nowMs: number): RegisteredServer | undefined {
        const entry = this.#entries.get(id);
        if (entry === undefined || entry.server.state !== "ready") {
            return undefined;
        }
        return entry.believedUntilMs === undefined || nowMs < entry.believedUntilMs ? entry.server : undefined;
    }

    #put(id: string, entry: DirectoryEntry): void {
        const before = this.#entries.get(id);
        if (before !== undefined && before.server.service !== entry.server.service) {
            this.#byService.get(before.server.service)?.delete(id);
        }
        this.#entries.set(id, entry);
        const ids = this.#byService.get(entry.server.service) ?? new Set();
        ids.add(id);
        this.#byService.set(entry.server.service, ids);
    }

    #remove(id: string): void {
        const entry = this.#entries.get(id);
        if (entry !== undefined) {
            this.#entries.delete(id);
            this.#byService.get(entry.server.service)?.delete(id);
        }
    }
}

/** @returns below zero where the first entry is the older one; zero also where they don't say */
function compareEntries(a: RegisteredServer, b: RegisteredServer): number {
    if (a.startedAtEpochMs !== b.startedAtEpochMs) {
        return (a.startedAtEpochMs ?? 0) - (b.startedAtEpochMs ?? 0);
    }
    const later = a.sequence === undefined || b.sequence === undefined ? 0 : a.sequence - b.sequence;
    // A server that leaves doesn't come back in the same start.
    return later === 0 && a.state === "ready" && b.state === "draining" ? -1 : later;
}

function resolveChange(
    before: RegisteredServer | undefined,
    after: RegisteredServer,
): ServerChange["change"] | undefined {
    if (before === undefined) {
        return "added";
    }
    if (before.startedAtEpochMs !== after.startedAtEpochMs) {
        return "restarted";
    }
    if (after.state === "draining") {
        return before.state === "draining" ? undefined : "draining";
    }
    const moved = before.address.host !== after.address.host || before.address.port !== after.address.port;
    const isOther = before.service !== after.service || before.version !== after.version;
    return moved || before.state !== after.state || isOther ? "changed" : undefined;
}
