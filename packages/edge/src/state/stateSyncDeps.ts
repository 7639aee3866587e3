import { type KeyValueStore } from "@galenaglade/platform";
import { type StateCodec } from "../stateCodec.js";
import { type InitialSyncGate } from "./initialSyncGate.js";
import { type RelayClient } from "./relayClient.js";
import { type StoreContactDeps } from "./storeContact.js";

/** Dependencies of `StateSync`. */
export interface StateSyncDeps extends StoreContactDeps {
    /** Name of this gateway in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    /** Called after each change of the fleet view. */
    readonly onViewChange: () => void;
    /** Called when the state that is relayed to other gateways may have changed. */
    readonly onRelayFeedChange: () => void;
    readonly initialSyncGate: InitialSyncGate;
    readonly relayClient: RelayClient;
}
