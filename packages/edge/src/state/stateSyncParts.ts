import { type KeyValueStore } from "@galenaglade/platform";
import { type StateCodec } from "../stateCodec.js";
import { type FirstReading } from "./firstReading.js";
import { type PeerChanges } from "./relayClient.js";
import { type StoreContactParts } from "./storeContact.js";

/** What the synchronisation works with. */
export interface StateSyncParts extends StoreContactParts {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    /** Called after each change of what is believed. */
    readonly onChange: () => void;
    /** Called when other gateways may be told something new. */
    readonly onChanged: () => void;
    readonly firstReading: FirstReading;
    readonly peers: PeerChanges;
}
