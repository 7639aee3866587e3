import {
    type CompareAndSwap,
    type KeyValue,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
} from "@galenaglade/platform";

interface LeaseRecord {
    readonly ttlMs: number;
    expiresAtMs: number;
}

interface Deletion {
    readonly key: string;
    readonly revision: number;
}

/**
 * An in-memory key-value store with compare-and-swap, leases and watches over one revision counter. The current time is
 * a parameter: the stand-in platform serves the engine over HTTP, and tests of libraries call it with their own clock.
 */
export class KeyValueEngine {
    readonly #keys = new Map<string, KeyValue>();
    readonly #leases = new Map<string, LeaseRecord>();
    readonly #deletions: Deletion[] = [];
    #revision = 0;
    #leaseCount = 0;

    get revision(): number {
        return this.#revision;
    }

    /** @returns a copy without leases: its keys never expire, including those attached to a lease */
    snapshot(): KeyValueEngine {
        const copy = new KeyValueEngine();
        for (const [key, entry] of this.#keys) {
            copy.#keys.set(key, entry);
        }
        copy.#deletions.push(...this.#deletions);
        copy.#revision = this.#revision;
        return copy;
    }

    /** @returns an independent copy of the current state: keys, leases with their expiry, deletions and revision */
    clone(): KeyValueEngine {
        const copy = this.snapshot();
        for (const [id, lease] of this.#leases) {
            copy.#leases.set(id, { ...lease });
        }
        copy.#leaseCount = this.#leaseCount;
        return copy;
    }

    get(key: string, nowMs: number): KeyValue | undefined {
        this.expire(nowMs);
        return this.#keys.get(key);
    }

    list(prefix: string, nowMs: number): readonly KeyValue[] {
        this.expire(nowMs);
        return [...this.#keys.values()]
            .filter(entry => entry.key.startsWith(prefix))
            .sort((a, b) => a.key < b.key ? -1 : 1);
    }

    compareAndSwap(req: CompareAndSwap, nowMs: number): SwapOutcome {
        this.expire(nowMs);
        const current = this.#keys.get(req.key);
        if ((current?.modifiedRevision ?? 0) !== req.expectedRevision) {
            return { swapped: false, current };
        }
        if (req.leaseId !== undefined && !this.#leases.has(req.leaseId)) {
            return { swapped: false, current };
        }
        if (req.value === undefined) {
            this.#delete(req.key);
        }
        else {
            this.#revision++;
            this.#keys.set(req.key, {
                key: req.key,
                value: req.value,
                modifiedRevision: this.#revision,
                leaseId: req.leaseId,
            });
        }
        return { swapped: true, revision: this.#revision };
    }

    grantLease(ttlMs: number, nowMs: number): Lease {
        const id = `lease-${++this.#leaseCount}`;
        this.#leases.set(id, { ttlMs, expiresAtMs: nowMs + ttlMs });
        return { id, ttlMs };
    }

    /** @returns the renewed lease, or `undefined` if it has expired */
    renewLease(id: string, nowMs: number): Lease | undefined {
        this.expire(nowMs);
        const lease = this.#leases.get(id);
        if (lease === undefined) {
            return undefined;
        }
        lease.expiresAtMs = nowMs + lease.ttlMs;
        return { id, ttlMs: lease.ttlMs };
    }

    revokeLease(id: string, nowMs: number): void {
        this.expire(nowMs);
        if (this.#leases.delete(id)) {
            this.#deleteLeaseKeys(id);
        }
    }

    /** @returns the keys under the prefix that changed after a revision; both lists are empty if none did */
    changesSince(prefix: string, afterRevision: number, nowMs: number): WatchEvents {
        const changed = this.list(prefix, nowMs).filter(entry => entry.modifiedRevision > afterRevision);
        const deleted = this.#deletions
            .filter(deletion => deletion.revision > afterRevision && deletion.key.startsWith(prefix))
            .map(deletion => deletion.key)
            .filter(key => !this.#keys.has(key));
        return { revision: this.#revision, changed, deleted: [...new Set(deleted)] };
    }

    /** Removes every expired lease and the keys attached to it. */
    expire(nowMs: number): void {
        for (const [id, lease] of this.#leases) {
            if (lease.expiresAtMs <= nowMs) {
                this.#leases.delete(id);
                this.#deleteLeaseKeys(id);
            }
        }
    }

    #deleteLeaseKeys(leaseId: string): void {
        for (const entry of [...this.#keys.values()]) {
            if (entry.leaseId === leaseId) {
                this.#delete(entry.key);
            }
        }
    }

    #delete(key: string): void {
        if (this.#keys.delete(key)) {
            this.#revision++;
            this.#deletions.push({ key, revision: this.#revision });
        }
    }
}
