import { lapsedEntryGraceMs, tombstoneRetentionMs, storeReconnectWindowMs } from "./constants.js";
import { type RegisteredServer } from "./model.js";

/** A backend server and the validity of its entry. */
interface DirectoryEntry {
    readonly server: RegisteredServer;
    /**
     * End of the grace period of an entry that was found missing right after a store outage; `undefined` while the
     * entry exists.
     */
    readonly keptUntilMs: number | undefined;
}

/** The last entry of a server that is no longer in the store. */
interface RemovedServer {
    readonly server: RegisteredServer;
    readonly atMs: number;
}

/** The effect of a change on one backend server. */
export interface ServerChange {
    readonly id: string;
    readonly change: "added" | "restarted" | "draining" | "changed" | "lapsed" | "removed";
}

/**
 * The backend servers that registered themselves.
 *
 * Servers cannot renew their entries while the store is unavailable, so all entries may have expired when it returns.
 * If they were dropped at once, all requests for a service would be refused although every server of it works. So an
 * entry that goes missing around an outage is kept a little longer than running servers need to re-create it.
 */
export class ServerDirectory {
    readonly #entries = new Map<string, DirectoryEntry>();
    readonly #byService = new Map<string, Set<string>>();
    readonly #removed = new Map<string, RemovedServer>();
    #keepLapsedUntilMs = -Infinity;
    /** When this process last found the store available after an outage. */
    #recoveredAtMs = -Infinity;
    /** When the store was last restored from an older backup. */
    #restoredAtMs = -Infinity;

    /**
     * @param server - as read in a full read of the store
     * @returns whether the entry is older than the known one, as after a restore of the store from an older backup
     */
    isOutdated(server: RegisteredServer): boolean {
        const known = this.#entries.get(server.id)?.server;
        if (known !== undefined) {
            return compareEntries(server, known) < 0;
        }
        const removed = this.#removed.get(server.id);
        const order = removed === undefined ? 1 : compareEntries(server, removed.server);
        return order < 0 || (order === 0 && removed !== undefined && removed.atMs < this.#restoredAtMs);
    }

    /** The store was restored from an older backup. */
    onStoreRestored(nowMs: number): void {
        this.#restoredAtMs = nowMs;
        this.onStoreRecovered(nowMs);
    }

    /** The store has just become available after an outage. Starts the grace period for lapsed entries. */
    onStoreRecovered(nowMs: number): void {
        this.#recoveredAtMs = nowMs;
        this.#keepLapsedUntilMs = nowMs + lapsedEntryGraceMs;
    }

    /**
     * The store has been available without an outage since the given time. If this process reconnected much later than
     * others can have, it was partitioned itself: entries that lapsed in an outage before are kept no longer than by
     * others, and entries that went missing later were deleted.
     */
    onStoreUpSince(sinceMs: number): void {
        const untilMs = sinceMs + lapsedEntryGraceMs;
        if (this.#recoveredAtMs - sinceMs <= storeReconnectWindowMs || untilMs >= this.#keepLapsedUntilMs) {
            return;
        }
        this.#keepLapsedUntilMs = untilMs;
        for (const [id, { server, keptUntilMs }] of this.#entries) {
            if (keptUntilMs !== undefined && keptUntilMs > untilMs) {
                this.#put(id, { server, keptUntilMs: untilMs });
            }
        }
    }

    /** @returns whether any server is kept whose entry is missing */
    hasLapsedEntries(nowMs: number): boolean {
        for (const { keptUntilMs } of this.#entries.values()) {
            if (keptUntilMs !== undefined && nowMs < keptUntilMs) {
                return true;
            }
        }
        return false;
    }

    /** @returns the change; `undefined` if the entry has nothing new */
    onEntry(server: RegisteredServer): ServerChange | undefined {
        const known = this.#entries.get(server.id)?.server;
        this.#removed.delete(server.id);
        this.#put(server.id, { server, keptUntilMs: undefined });
        const change = resolveChange(known, server);
        return change === undefined ? undefined : { id: server.id, change };
    }

    /** The entry is no longer in the store. */
    onEntryMissing(id: string, nowMs: number): ServerChange | undefined {
        const entry = this.#entries.get(id);
        if (entry === undefined || entry.keptUntilMs !== undefined) {
            return undefined;
        }
        this.#removed.set(id, { server: entry.server, atMs: nowMs });
        if (nowMs < this.#keepLapsedUntilMs && entry.server.state === "ready") {
            this.#put(id, { server: entry.server, keptUntilMs: this.#keepLapsedUntilMs });
            return { id, change: "lapsed" };
        }
        this.#remove(id);
        return { id, change: "removed" };
    }

    /**
     * Removes lapsed servers whose grace period is over.
     *
     * @returns the removed servers
     */
    expire(nowMs: number): readonly ServerChange[] {
        const expired: ServerChange[] = [];
        for (const [id, { atMs }] of this.#removed) {
            if (nowMs - atMs >= tombstoneRetentionMs) {
                this.#removed.delete(id);
            }
        }
        for (const [id, { keptUntilMs }] of this.#entries) {
            if (keptUntilMs !== undefined && nowMs >= keptUntilMs) {
                this.#remove(id);
                expired.push({ id, change: "removed" });
            }
        }
        return expired;
    }

    get(id: string): RegisteredServer | undefined {
        return this.#entries.get(id)?.server;
    }

    /** Ids of all servers, including those with a lapsed entry. */
    ids(): readonly string[] {
        return [...this.#entries.keys()];
    }

    /** @returns the backend servers of a service that may get new requests according to the store */
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

    /** @returns whether the server may get new requests according to the store */
    isReady(id: string, nowMs: number): boolean {
        return this.#findReady(id, nowMs) !== undefined;
    }

    #findReady(id: string, nowMs: number): RegisteredServer | undefined {
        const entry = this.#entries.get(id);
        if (entry === undefined || entry.server.state !== "ready") {
            return undefined;
        }
        return entry.keptUntilMs === undefined || nowMs < entry.keptUntilMs ? entry.server : undefined;
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

/** @returns a negative number if the first entry is older; 0 if they are of the same age or it is unknown */
function compareEntries(a: RegisteredServer, b: RegisteredServer): number {
    if (a.startedAtEpochMs !== b.startedAtEpochMs) {
        return (a.startedAtEpochMs ?? 0) - (b.startedAtEpochMs ?? 0);
    }
    const sequenceOrder = a.sequence === undefined || b.sequence === undefined ? 0 : a.sequence - b.sequence;
    // A draining server never becomes ready again within the same start.
    return sequenceOrder === 0 && a.state === "ready" && b.state === "draining" ? -1 : sequenceOrder;
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
    const hasOtherServiceOrVersion = before.service !== after.service || before.version !== after.version;
    return moved || before.state !== after.state || hasOtherServiceOrVersion ? "changed" : undefined;
}
