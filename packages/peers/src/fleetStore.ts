import { createFailure, type Failure } from "@galenaglade/errors";
import { type ConfigurationHead, type GatewayIdentity, type Roster, storeKeys } from "@galenaglade/membership";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { parseHead, parseIdentity, parseRoster } from "./storeCodec.js";

/** The first attempt finds an earlier registration, the second replaces it. */
const registrationAttempts = 2;

/** The fleet's state in the store. */
export interface StoredFleet {
    readonly roster: Roster | undefined;
    readonly rosterKeyRevision: number;
    /** Read after the roster. */
    readonly head: StoredHead;
    /** Listed after the head; `undefined` if the list failed, or is older than the roster or the head. */
    readonly listed: ListedFleet | undefined;
}

/** The fleet's keys that are read by listing. */
export interface ListedFleet {
    /** Gateways with a valid lease. */
    readonly registered: readonly GatewayIdentity[];
    /** Names of gateways that an operator has confirmed as ended. */
    readonly forgotten: readonly string[];
}

/** The configuration head and the store revision of its key. */
export interface StoredHead {
    readonly head: ConfigurationHead | undefined;
    /** 0 if the key doesn't exist. */
    readonly keyRevision: number;
}

/**
 * Makes a linearizable read of a key by compare-and-swap: a deletion on condition that the key doesn't exist. It has no
 * effect in either case, and returns the current value.
 *
 * A plain read may be served by a replica of the store that lags behind. A gateway could then take an old configuration
 * for confirmed and keep sending work under it after a newer one is in force. A compare-and-swap isn't decided on stale
 * data, so its result is never older than the call.
 *
 * @param store - the platform's store
 * @param key - key to read
 * @returns the key's current entry; `undefined` if it doesn't exist
 */
async function readLinearizable(store: KeyValueStore, key: string): Promise<Either<Failure, KeyValue | undefined>> {
    const swap = await store.compareAndSwap({ key, expectedRevision: 0, value: undefined });
    return swap.map(outcome => outcome.swapped ? undefined : outcome.current);
}

/**
 * @param store - the platform's store
 * @returns the current head
 */
export async function readHead(store: KeyValueStore): Promise<Either<Failure, StoredHead>> {
    const read = await readLinearizable(store, storeKeys.head);
    return read.chain(entry => parseHead(entry).map(head => ({ head, keyRevision: entry?.modifiedRevision ?? 0 })));
}

/**
 * Reads the roster, then the head, then the registrations. Due to this order, a process that holds a roster also holds
 * every configuration that was written before that roster, which the steps of a roster change depend on. A gateway that
 * isn't among the registrations registers after the head was written, and reads the head after that.
 *
 * @param store - the platform's store
 * @returns roster and head, with the registrations if they could be listed; otherwise the first failure
 */
export async function readFleet(store: KeyValueStore): Promise<Either<Failure, StoredFleet>> {
    const rosterEntry = await readLinearizable(store, storeKeys.roster);
    if (rosterEntry.isLeft()) {
        return Left(rosterEntry.extract());
    }
    const head = await readHead(store);
    if (head.isLeft()) {
        return Left(head.extract());
    }
    const listed = await store.list(storeKeys.fleetPrefix);
    const roster = rosterEntry.toMaybe().extract();
    const rosterKeyRevision = roster?.modifiedRevision ?? 0;
    return head.chain(storedHead =>
        parseRoster(roster).map(parsed => {
            const minRevision = Math.max(rosterKeyRevision, storedHead.keyRevision);
            const entries = listed.toMaybe().filter(list => list.revision >= minRevision).map(list => list.entries);
            return { roster: parsed, rosterKeyRevision, head: storedHead, listed: entries.map(groupEntries).extract() };
        })
    );
}

function groupEntries(entries: readonly KeyValue[]): ListedFleet {
    const registered: GatewayIdentity[] = [];
    const forgotten: string[] = [];
    for (const entry of entries) {
        if (entry.key.startsWith(storeKeys.memberPrefix)) {
            // A single invalid registration must not fail the reads of all gateways.
            parseIdentity(entry).ifRight(identity => registered.push(identity));
        }
        else if (entry.key.startsWith(storeKeys.forgottenPrefix)) {
            forgotten.push(entry.key.slice(storeKeys.forgottenPrefix.length));
        }
    }
    return { registered, forgotten };
}

/**
 * @param store - the platform's store
 * @param name - name of the gateway
 * @returns whether the gateway is registered
 */
export async function isRegistered(store: KeyValueStore, name: string): Promise<Either<Failure, boolean>> {
    return (await readLinearizable(store, `${storeKeys.memberPrefix}${name}`)).map(entry => entry !== undefined);
}

/**
 * @param store - the platform's store
 * @param name - name of the gateway
 * @returns whether an operator's confirmation that the gateway has ended is stored
 */
export async function isForgotten(store: KeyValueStore, name: string): Promise<Either<Failure, boolean>> {
    return (await readLinearizable(store, `${storeKeys.forgottenPrefix}${name}`)).map(entry => entry !== undefined);
}

/**
 * Registers a gateway with its own lease. An earlier registration of the same name is replaced: a host runs a single
 * gateway, so the earlier process has ended.
 *
 * @param store - the platform's store
 * @param self - identity of the gateway
 * @param ttlMs - time to live of the lease, in milliseconds
 * @returns id of the lease
 */
export async function register(
    store: KeyValueStore,
    self: GatewayIdentity,
    ttlMs: number,
): Promise<Either<Failure, string>> {
    const lease = await store.grantLease(ttlMs);
    if (lease.isLeft()) {
        return Left(lease.extract());
    }
    const cleared = await clearForgotten(store, self.name);
    if (cleared.isLeft()) {
        return Left(cleared.extract());
    }
    const key = `${storeKeys.memberPrefix}${self.name}`;
    const leaseId = lease.unsafeCoerce().id;
    let expectedRevision = 0;
    for (let i = 0; i < registrationAttempts; i++) {
        const swap = await store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(self), leaseId });
        if (swap.isLeft()) {
            return Left(swap.extract());
        }
        const outcome = swap.unsafeCoerce();
        if (outcome.swapped) {
            // Checked again: a confirmation that was written between the first check and the registration wasn't
            // rejected, since the gateway wasn't registered yet.
            return (await clearForgotten(store, self.name)).map(() => leaseId);
        }
        expectedRevision = outcome.current?.modifiedRevision ?? 0;
    }
    return Left(createFailure("revisionConflict", `${key} was written meanwhile`));
}

/**
 * Deletes an operator's confirmation that the gateway of this name has ended. It would apply to the new process too: if
 * that process were disconnected from the store, it would count as ended while it serves.
 *
 * @param store - the platform's store
 * @param name - name of the gateway
 * @returns nothing, or the store's failure
 */
export async function clearForgotten(store: KeyValueStore, name: string): Promise<Either<Failure, void>> {
    const key = `${storeKeys.forgottenPrefix}${name}`;
    const current = await readLinearizable(store, key);
    if (current.isLeft()) {
        return Left(current.extract());
    }
    const expectedRevision = current.toMaybe().extract()?.modifiedRevision;
    if (expectedRevision === undefined) {
        return Right(undefined);
    }
    const swap = await store.compareAndSwap({ key, expectedRevision, value: undefined });
    return swap.chain(({ swapped }) =>
        swapped ? Right(undefined) : Left(createFailure("revisionConflict", `${key} was written meanwhile`))
    );
}
