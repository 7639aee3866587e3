import { type Failure } from "@galenaglade/errors";
import { type StateItem } from "@galenaglade/fleet-state";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either } from "purify-ts";
import { type StateCodec } from "../stateCodec.js";

/** The fleet's whole state at one revision of the store. */
export interface StateSnapshot {
    readonly revision: number;
    readonly entries: readonly KeyValue[];
    readonly items: readonly StateItem[];
}

/**
 * Reads the fleet's whole state from the store.
 *
 * @param store - the store
 * @param codec - decodes keys and values
 * @param onOperatorRead - called with each partial result that has all of the operator's keys
 * @returns the state, or the failure of the call
 */
export async function readState(
    store: KeyValueStore,
    codec: StateCodec,
    onOperatorRead: (items: readonly StateItem[]) => void,
): Promise<Either<Failure, StateSnapshot>> {
    const items: StateItem[] = [];
    // Each partial result includes the entries of the ones before; only the new ones are decoded.
    const decodeNew = (entries: readonly KeyValue[]): readonly StateItem[] => {
        items.push(...entries.slice(items.length).map(entry => codec.decode(entry)));
        return items;
    };
    const read = await store.list(codec.prefix, entries => {
        const lastKey = entries.at(-1)?.key;
        const partialItems = decodeNew(entries);
        if (lastKey !== undefined && codec.isAfterOperatorKeys(lastKey)) {
            onOperatorRead(partialItems);
        }
    });
    return read.map(({ revision, entries }) => ({ revision, entries, items: decodeNew(entries) }));
}
