import { createFailure, type Failure } from "@galenaglade/errors";
import { type ConfigurationHead, type GatewayIdentity, type Roster, storeKeys } from "@galenaglade/membership";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { parseHead, parseIdentity, parseRoster } from "./storeCodec.js";

/** The fleet as the store has it. */
export interface StoredFleet {
    readonly roster: Roster | undefined;
    readonly rosterKeyRevision: number;
    readonly registered: readonly GatewayIdentity[];
    readonly forgotten: readonly string[];
    /** Read after the rest. */
    readonly head: StoredHead;
}

/** The head with its key's revision, 0 where it doesn't exist. */
export interface StoredHead {
    readonly head: ConfigurationHead | undefined;
    readonly keyRevision: number;
}

/**
 * @param store - the platform's store
 * @returns the head as written last
 */
export async function readHead(store: KeyValueStore): Promise<Either<Failure, StoredHead>> {
    const read = await store.get(storeKeys.head);
    return read.chain(entry => parseHead(entry).map(head => ({ head, keyRevision: entry?.modifiedRevision ?? 0 })));
}

/**
 * Reads the fleet, then the head. In this order, whoever holds a roster also holds every configuration that was written
 * before that roster, which the steps of a roster change build on.
 *
 * @param store - the platform's store
 * @returns both, or the first failure
 */
export async function readFleet(store: KeyValueStore): Promise<Either<Failure, StoredFleet>> {
    const listed = await store.list(storeKeys.fleetPrefix);
    if (listed.isLeft()) {
        return Left(listed.extract());
    }
    const head = await readHead(store);
    return head.chain(storedHead => listed.chain(({ entries }) => resolveFleet(entries, storedHead)));
}

function resolveFleet(entries: readonly KeyValue[], head: StoredHead): Either<Failure, StoredFleet> {
    let roster: Roster | undefined;
    let rosterKeyRevision = 0;
    const registered: GatewayIdentity[] = [];
    const forgotten: string[] = [];
    for (const entry of entries) {
        if (entry.key === storeKeys.roster) {
            const parsed = parseRoster(entry);
            if (parsed.isLeft()) {
                return Left(parsed.extract());
            }
            roster = parsed.toMaybe().extract();
            rosterKeyRevision = entry.modifiedRevision;
        }
        else if (entry.key.startsWith(storeKeys.memberPrefix)) {
            // One registration that can't be read must not stop everybody's reads.
            parseIdentity(entry).ifRight(identity => registered.push(identity));
        }
        else if (entry.key.startsWith(storeKeys.forgottenPrefix)) {
            forgotten.push(entry.key.slice(storeKeys.forgottenPrefix.length));
        }
    }
    return Right({ roster, rosterKeyRevision, registered, forgotten, head });
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
    const key = `${storeKeys.memberPrefix}${self.name}`;
    const present = await store.get(key);
    if (present.isLeft()) {
        return Left(present.extract());
    }
    const leaseId = lease.unsafeCoerce().id;
    const swap = await store.compareAndSwap({
        key,
        expectedRevision: present.toMaybe().extract()?.modifiedRevision ?? 0,
        value: JSON.stringify(self),
        leaseId,
    });
    return swap.chain(outcome =>
        outcome.swapped ? Right(leaseId) : Left(createFailure("revisionConflict", `${key} was written meanwhile`))
    );
}
