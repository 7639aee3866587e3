import { type StoreCommand, type StoredValue, type StoreOutcome } from "@galenaglade/cold-start";
import { type Failure } from "@galenaglade/errors";
import { type KeyValue, type KeyValueStore, type Lease, type SwapOutcome } from "@galenaglade/platform";
import { type Either } from "purify-ts";

/**
 * Runs a store command of the permit gate.
 *
 * @param store - the platform's store
 * @param command - the command
 * @returns the outcome; failures are part of it, the promise never rejects
 */
export async function runStoreCommand(store: KeyValueStore, command: StoreCommand): Promise<StoreOutcome> {
    switch (command.type) {
        case "grantLease":
            return resolveLease(await store.grantLease(command.ttlMs));
        case "renewLease":
            return resolveLease(await store.renewLease(command.leaseId));
        case "read":
            return resolveRead(await store.get(command.key));
        case "swap":
            return resolveSwap(await store.compareAndSwap(command));
    }
}

function resolveLease(result: Either<Failure, Lease>): StoreOutcome {
    return result.caseOf<StoreOutcome>({
        Left: failure => ({ type: failure.kind === "notFound" ? "lapsed" : "failed" }),
        Right: lease => ({ type: "lease", leaseId: lease.id, ttlMs: lease.ttlMs }),
    });
}

function resolveRead(result: Either<Failure, KeyValue | undefined>): StoreOutcome {
    return result.caseOf<StoreOutcome>({
        Left: () => ({ type: "failed" }),
        Right: entry => ({ type: "value", entry: resolveValue(entry) }),
    });
}

function resolveSwap(result: Either<Failure, SwapOutcome>): StoreOutcome {
    return result.caseOf<StoreOutcome>({
        Left: () => ({ type: "failed" }),
        Right: outcome =>
            outcome.swapped
                ? { type: "swapped", revision: outcome.revision }
                : { type: "notSwapped", current: resolveValue(outcome.current) },
    });
}

function resolveValue(entry: KeyValue | undefined): StoredValue | undefined {
    return entry === undefined
        ? undefined
        : { value: entry.value, modifiedRevision: entry.modifiedRevision, leaseId: entry.leaseId };
}
