import { type KeyValueStore } from "@galenaglade/platform";
import { type StateCodec } from "../stateCodec.js";
import { type InitialSyncGate } from "./initialSyncGate.js";
import { type RelayClient } from "./relayClient.js";
import { type StoreContactDeps } from "./storeContact.js";

/** What the synchronisation works with. */
export interface StateSyncDeps extends StoreContactDeps {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    /** Called after each change of what is believed. */
    readonly onViewChange: () => void;
    /** Called when other gateways may be told something new. */
    readonly onRelayFeedChange: () => void;
    readonly initialSyncGate: InitialSyncGate;
    readonly relayClient: RelayClient;
}
