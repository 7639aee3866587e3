import { RendezvousRanks } from "@galenaglade/fleet-state";
import {
    minLimitOwners,
    minLimitPerSecond,
    limitRecheckShare,
    minPerSecondPerLimitOwner,
    ownerLimitShare,
    maxLimitOwners,
} from "./constants.js";
import { type AdvertisedLimit } from "./advertisedLimits.js";

/** Input to the decision when a server that advertises a limit may be sent a request. */
export interface LimitAdmissionInput {
    readonly serverId: string;
    /** Zone of the server. */
    readonly availabilityZone: string;
    readonly limit: AdvertisedLimit;
    /** All gateways in the roster; the same array as long as the roster doesn't change. */
    readonly gateways: readonly string[];
    /** Gateways of this gateway's zone. */
    readonly zoneGateways: readonly string[];
    /** Gateways of the server's zone. */
    readonly serverZoneGateways: readonly string[];
    readonly nowMs: number;
}

/** Share of a limit that this gateway may use. */
interface LimitShare {
    /** Time between two requests. */
    readonly intervalMs: number;
    /** Time from the first response with the limit to the first request. */
    readonly firstAfterMs: number;
}

const oneSecondMs = 1_000;

/**
 * Enforces the limits that servers advertise for the whole fleet, without coordination between gateways. Each limit has
 * a few owners, the first gateways of the server's zone by rendezvous hashing, each with an equal share and no burst:
 * divided among all gateways, most shares would be too small to be used. The other gateways each send a single request
 * at long intervals, one after the other, to check whether the limit is still in effect. A gateway that has just
 * learned of a limit waits as if it had just sent a request.
 */
export class LimitAdmission {
    readonly #availabilityZone: string;
    readonly #zoneRanks: RendezvousRanks;
    readonly #fleetRanks: RendezvousRanks;
    readonly #sentAtMs = new Map<string, number>();

    /**
     * @param name - name of this gateway, as registered
     * @param availabilityZone - zone of this gateway
     */
    constructor(name: string, availabilityZone: string) {
        this.#availabilityZone = availabilityZone;
        this.#zoneRanks = new RendezvousRanks(name);
        this.#fleetRanks = new RendezvousRanks(name);
    }

    /** @returns milliseconds until this gateway may send to the server; 0 if it may send now */
    waitMs(input: LimitAdmissionInput): number {
        const { serverId, limit, nowMs } = input;
        const { intervalMs, firstAfterMs } = this.#shareOf(input);
        const sentAtMs = this.#sentAtMs.get(serverId) ?? -Infinity;
        const nextAtMs = sentAtMs >= limit.sinceMs ? sentAtMs + intervalMs : limit.sinceMs + firstAfterMs;
        return Math.max(0, nextAtMs - nowMs);
    }

    /** Records a request sent to the server. */
    onSend(serverId: string, nowMs: number): void {
        this.#sentAtMs.set(serverId, nowMs);
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        this.#zoneRanks.retain(serverIds);
        this.#fleetRanks.retain(serverIds);
        for (const serverId of this.#sentAtMs.keys()) {
            if (!serverIds.has(serverId)) {
                this.#sentAtMs.delete(serverId);
            }
        }
    }

    #shareOf(input: LimitAdmissionInput): LimitShare {
        const perSecond = Math.max(minLimitPerSecond, input.limit.perSecond);
        const wantedOwners = Math.ceil(perSecond * ownerLimitShare / minPerSecondPerLimitOwner);
        const gateways = Math.max(1, input.gateways.length);
        const owners = Math.min(gateways, maxLimitOwners, Math.max(minLimitOwners, wantedOwners));
        if (this.#isOwner(input, owners)) {
            const intervalMs = oneSecondMs * owners / (perSecond * ownerLimitShare);
            return { intervalMs, firstAfterMs: intervalMs };
        }
        const intervalMs = oneSecondMs * gateways / (perSecond * limitRecheckShare);
        // All of them may have learned of the limit at once; their ranks spread the checks over the interval.
        this.#fleetRanks.update(input.gateways);
        return { intervalMs, firstAfterMs: intervalMs * (0.5 + this.#fleetRanks.rankOf(input.serverId) / gateways) };
    }

    #isOwner({ serverId, availabilityZone, ...input }: LimitAdmissionInput, owners: number): boolean {
        if (input.serverZoneGateways.length < owners) {
            this.#fleetRanks.update(input.gateways);
            return this.#fleetRanks.rankOf(serverId) < owners;
        }
        this.#zoneRanks.update(input.zoneGateways);
        return availabilityZone === this.#availabilityZone && this.#zoneRanks.rankOf(serverId) < owners;
    }
}
