import { createFailure, type Failure } from "@galenaglade/errors";
import { type ConfigurationHead, type GatewayIdentity, type Roster, storeKeys } from "@galenaglade/membership";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { parseHead, parseIdentity, parseRoster } from "./storeCodec.js";

/** The first try finds an earlier registration, the second replaces it. */
const registrationTries = 2;

/** The fleet as the store has it. */
export interface StoredFleet {
    readonly roster: Roster | undefined;
    readonly rosterKeyRevision: number;
    /** Read after the roster. */
    readonly head: StoredHead;
    /** Listed after the head; `undefined` where the list failed, or showed the fleet as it was before the head. */
    readonly listed: ListedFleet | undefined;
}

/** What the store lists of the fleet. */
export interface ListedFleet {
    readonly registered: readonly GatewayIdentity[];
    readonly forgotten: readonly string[];
}

/** The head with its key's revision, 0 where it doesn't exist. */
export interface StoredHead {
    readonly head: ConfigurationHead | undefined;
    readonly keyRevision: number;
}

/**
 * Reads a key through the store's compare-and-swap, as a deletion that is to happen only if the key doesn't exist: it
 * changes nothing either way, and answers with the present value.
 *
 * A plain read may be answered by a part of the store that has fallen behind. A gateway would then take an old
 * configuration for confirmed and go on under it after a newer one was called in force. A compare-and-swap can't be
 * decided by what was, so its answer is no older than the call.
 *
 * @param store - the platform's store
 * @param key - what to read
 * @returns the key as it is; `undefined` where it doesn't exist
 */
async function readPresent(store: KeyValueStore, key: string): Promise<Either<Failure, KeyValue | undefined>> {
    const swap = await store.compareAndSwap({ key, expectedRevision: 0, value: undefined });
    return swap.map(outcome => outcome.swapped ? undefined : outcome.current);
}

/**
 * @param store - the platform's store
 * @returns the head as written last
 */
export async function readHead(store: KeyValueStore): Promise<Either<Failure, StoredHead>> {
    const read = await readPresent(store, storeKeys.head);
    return read.chain(entry => parseHead(entry).map(head => ({ head, keyRevision: entry?.modifiedRevision ?? 0 })));
}

/**
 * Reads the roster, then the head, then the registrations. In this order, whoever holds a roster also holds every
 * configuration that was written before that roster, which the steps of a roster change build on; and a gateway that
 * isn't among the registrations registers after the head was written, and reads it after that.
 *
 * @param store - the platform's store
 * @returns roster and head, with the registrations where they could be had; or the first failure
 */
export async function readFleet(store: KeyValueStore): Promise<Either<Failure, StoredFleet>> {
    const rosterEntry = await readPresent(store, storeKeys.roster);
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
            const atLeast = Math.max(rosterKeyRevision, storedHead.keyRevision);
            const entries = listed.toMaybe().filter(list => list.revision >= atLeast).map(list => list.entries);
            return { roster: parsed, rosterKeyRevision, head: storedHead, listed: entries.map(sortEntries).extract() };
        })
    );
}

function sortEntries(entries: readonly KeyValue[]): ListedFleet {
    const registered: GatewayIdentity[] = [];
    const forgotten: string[] = [];
    for (const entry of entries) {
        if (entry.key.startsWith(storeKeys.memberPrefix)) {
            // One registration that can't be read must not stop everybody's reads.
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
 * @param name - a gateway's name
 * @returns whether the gateway's registration stands
 */
export async function isRegistered(store: KeyValueStore, name: string): Promise<Either<Failure, boolean>> {
    return (await readPresent(store, `${storeKeys.memberPrefix}${name}`)).map(entry => entry !== undefined);
}

/**
 * @param store - the platform's store
 * @param name - a gateway's name
 * @returns whether an operator's word that it runs nowhere stands
 */
export async function isForgotten(store: KeyValueStore, name: string): Promise<Either<Failure, boolean>> {
    return (await readPresent(store, `${storeKeys.forgottenPrefix}${name}`)).map(entry => entry !== undefined);
}

/**
 * Registers a gateway under a lease of its own. An earlier registration of the same name is replaced: one gateway runs
 * on a host, so that it belongs to a process that has ended.
 *
 * @param store - the platform's store
 * @param self - the gateway
 * @param ttlMs - how long the registration outlives its last renewal
 * @returns the lease's id
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
    const remembered = await clearForgotten(store, self.name);
    if (remembered.isLeft()) {
        return Left(remembered.extract());
    }
    const key = `${storeKeys.memberPrefix}${self.name}`;
    const leaseId = lease.unsafeCoerce().id;
    let expectedRevision = 0;
    for (let i = 0; i < registrationTries; i++) {
        const swap = await store.compareAndSwap({ key, expectedRevision, value: JSON.stringify(self), leaseId });
        if (swap.isLeft()) {
            return Left(swap.extract());
        }
        const outcome = swap.unsafeCoerce();
        if (outcome.swapped) {
            // Again: a word that was given between the first look and the registration found none to be refused by.
            return (await clearForgotten(store, self.name)).map(() => leaseId);
        }
        expectedRevision = outcome.current?.modifiedRevision ?? 0;
    }
    return Left(createFailure("revisionConflict", `${key} was written meanwhile`));
}

/**
 * Takes back an operator's word that a gateway of this name runs nowhere. Left in place, it would speak for the new
 * process too: once cut off from the store, that one would be counted as gone while it serves on.
 *
 * @param store - the platform's store
 * @param name - the gateway's name
 * @returns nothing, or the store's failure
 */
export async function clearForgotten(store: KeyValueStore, name: string): Promise<Either<Failure, void>> {
    const key = `${storeKeys.forgottenPrefix}${name}`;
    const present = await readPresent(store, key);
    if (present.isLeft()) {
        return Left(present.extract());
    }
    const expectedRevision = present.toMaybe().extract()?.modifiedRevision;
    if (expectedRevision === undefined) {
        return Right(undefined);
    }
    const swap = await store.compareAndSwap({ key, expectedRevision, value: undefined });
    return swap.chain(({ swapped }) =>
        swapped ? Right(undefined) : Left(createFailure("revisionConflict", `${key} was written meanwhile`))
    );
}
