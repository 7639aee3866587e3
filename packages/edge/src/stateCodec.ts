import { type RolloutStatus, type StateItem } from "@galenaglade/fleet-state";
import { type KeyValue } from "@galenaglade/platform";

/** How the fleet's state is written in the store. */
export abstract class StateCodec {
    /** Beginning of all keys that matter; one watch serves for all of them. */
    abstract readonly prefix: string;
    /** Decodes one key; what can't be read names nothing and says why. */
    abstract decode(entry: KeyValue): StateItem;
    /** Where a gateway registers itself. */
    abstract registrationKey(gateway: string): string;
    /** Where the status of a service's roll-out stands. */
    abstract rolloutStatusKey(service: string): string;
    /** @returns the value of a roll-out's status */
    abstract encodeRolloutStatus(status: RolloutStatus): string;
    /** Where a gateway reports on requests under which servers ended. */
    abstract crashReportKey(gateway: string): string;
    /** @returns whether all of the operator's keys come before a key, in the store's order */
    abstract isAfterOperatorKeys(key: string): boolean;
}
