import { type Failure } from "@galenaglade/errors";
import { type StateItem } from "@galenaglade/fleet-state";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either } from "purify-ts";
import { type StateCodec } from "../stateCodec.js";

/** A whole reading of the store. */
export interface StateSnapshot {
    readonly revision: number;
    readonly entries: readonly KeyValue[];
    readonly items: readonly StateItem[];
}

/**
 * Reads the whole state of the fleet.
 *
 * @param store - where it lies
 * @param codec - how it is written
 * @param onOperatorRead - called with each part that has all of the operator's keys, before the last one
 * @returns what was read, or why nothing was
 */
export async function readState(
    store: KeyValueStore,
    codec: StateCodec,
    onOperatorRead: (items: readonly StateItem[]) => void,
): Promise<Either<Failure, StateSnapshot>> {
    const items: StateItem[] = [];
    // Parts come with all that was read before them: each entry is decoded once.
    const decode = (entries: readonly KeyValue[]): readonly StateItem[] => {
        items.push(...entries.slice(items.length).map(entry => codec.decode(entry)));
        return items;
    };
    const read = await store.list(codec.prefix, entries => {
        const lastKey = entries.at(-1)?.key;
        const soFar = decode(entries);
        if (lastKey !== undefined && codec.isAfterOperatorKeys(lastKey)) {
            onOperatorRead(soFar);
        }
    });
    return read.map(({ revision, entries }) => ({ revision, entries, items: decode(entries) }));
}
