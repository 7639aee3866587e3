import { findOwners } from "@galenaglade/fleet-state";
import { coldServerOwners, coldRateShare, ownershipValidityMs } from "./constants.js";

/** What decides whether a cold server may be sent to. */
export interface ColdAdmissionInput {
    readonly serverId: string;
    /** Requests a second that the server bears from all gateways together. */
    readonly requestsPerSecond: number;
    readonly gateways: readonly string[];
    /** Since the store last answered this gateway. */
    readonly sinceStoreContactMs: number;
    readonly nowMs: number;
}

/**
 * Limits what cold backend servers are given. The bound is a sum over all gateways within one second, and a server that
 * turned cold looks idle, so that without owners every gateway would send to it at the same moment and it would fall
 * over. Two gateways own each server, each with half of the rate and no savings beyond one request. While two rosters
 * differ, three may own it, which stays below the bound too.
 */
export class ColdServerAdmission {
    readonly #name: string;
    readonly #nextAtMs = new Map<string, number>();

    /** @param name - of this gateway, as in its registration */
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

    /** A request goes to the cold server. */
    onSend({ serverId, requestsPerSecond, nowMs }: ColdAdmissionInput): void {
        this.#nextAtMs.set(serverId, nowMs + 1_000 * coldServerOwners / (requestsPerSecond * coldRateShare));
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#nextAtMs.keys()) {
            if (!serverIds.has(serverId)) {
                this.#nextAtMs.delete(serverId);
            }
        }
    }
}
