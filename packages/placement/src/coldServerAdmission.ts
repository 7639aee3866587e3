import { findOwners } from "@galenaglade/fleet-state";
import { coldServerOwners, coldRateShare, ownershipValidityMs } from "./constants.js";

/** Input to the decision whether a cold server may be sent a request. */
export interface ColdAdmissionInput {
    readonly serverId: string;
    /** Rate limit of the cold server over all gateways, in requests per second. */
    readonly requestsPerSecond: number;
    /** Names of all gateways in the roster. */
    readonly gateways: readonly string[];
    /** Time since the store last responded to this gateway. */
    readonly sinceStoreContactMs: number;
    readonly nowMs: number;
}

/**
 * Limits the request rate of cold backend servers without coordination between gateways. The limit is a sum over all
 * gateways within one second, and a server that has become cold looks idle: without owners, every gateway would send to
 * it at the same moment and overload it. Two gateways own each server, each with half of the rate and a burst of one
 * request. While two rosters differ, three gateways may consider themselves owners, which still stays within the limit.
 */
export class ColdServerAdmission {
    readonly #name: string;
    readonly #nextAtMs = new Map<string, number>();

    /** @param name - name of this gateway, as registered */
    constructor(name: string) {
        this.#name = name;
    }

    /** @returns whether this gateway may send to the cold server now */
    maySend(input: ColdAdmissionInput): boolean {
        if (input.requestsPerSecond <= 0 || input.sinceStoreContactMs > ownershipValidityMs) {
            return false;
        }
        if (input.nowMs < (this.#nextAtMs.get(input.serverId) ?? -Infinity)) {
            return false;
        }
        return findOwners(input.serverId, input.gateways, coldServerOwners).includes(this.#name);
    }

    /** Records a request sent to the cold server. */
    onSend({ serverId, requestsPerSecond, nowMs }: ColdAdmissionInput): void {
        this.#nextAtMs.set(serverId, nowMs + 1_000 * coldServerOwners / (requestsPerSecond * coldRateShare));
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#nextAtMs.keys()) {
            if (!serverIds.has(serverId)) {
                this.#nextAtMs.delete(serverId);
            }
        }
    }
}
