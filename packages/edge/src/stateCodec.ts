import { type RolloutStatus, type StateItem } from "@galenaglade/fleet-state";
import { type KeyValue } from "@galenaglade/platform";

/** Longest reason that is logged, in characters. An entry of a thousand faults gives a thousand reasons. */
const maxReasonLength = 500;

/** Encodes and decodes the fleet's state in the store. */
export abstract class StateCodec {
    /** Common prefix of all keys, so that a single watch covers them. */
    abstract readonly prefix: string;
    /**
     * Decodes one entry.
     *
     * @param entry - an entry of any writer
     * @returns the item; an unreadable entry yields one with the reason
     */
    decode(entry: KeyValue): StateItem {
        try {
            const item = this.decodeEntry(entry);
            return item.type === "ignored" ? { ...item, reason: item.reason?.slice(0, maxReasonLength) } : item;
        }
        catch (err) {
            const reason = `can't be decoded: ${String(err)}`.slice(0, maxReasonLength);
            return { type: "ignored", key: entry.key, reason };
        }
    }

    /** @returns the key of a gateway's registration */
    abstract registrationKey(gateway: string): string;
    /** @returns the key of the status of a service's rollout */
    abstract rolloutStatusKey(service: string): string;
    /** @returns the encoded status of a rollout */
    abstract encodeRolloutStatus(status: RolloutStatus): string;
    /** @returns the key of a gateway's report on requests during which servers crashed */
    abstract crashReportKey(gateway: string): string;
    /** @returns whether a key sorts after all of the operator's keys in the store */
    abstract isAfterOperatorKeys(key: string): boolean;
    /** Decodes one entry; an unreadable entry yields an item with the reason. */
    protected abstract decodeEntry(entry: KeyValue): StateItem;
}
