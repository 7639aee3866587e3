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

/** What decides whether a server that named a limit may be sent to. */
export interface LimitAdmissionInput {
    readonly serverId: string;
    /** Of the server. */
    readonly availabilityZone: string;
    readonly limit: AdvertisedLimit;
    /** Gateways that count; the same array while they are the same. */
    readonly gateways: readonly string[];
    /** Those of this gateway's own zone. */
    readonly zoneGateways: readonly string[];
    /** Those of the server's zone. */
    readonly serverZoneGateways: readonly string[];
    readonly nowMs: number;
}

/** This gateway's part of a limit. */
interface LimitPart {
    /** Between two requests. */
    readonly intervalMs: number;
    /** From when the limit was first heard to the first request. */
    readonly firstAfterMs: number;
}

const oneSecondMs = 1_000;

/**
 * Keeps limits that servers name for all gateways together, without a message between them. A limit has few owners, the first
 * gateways of the server's zone by rendezvous hashing, each with an equal part of it and no savings: dealt to all gateways, most parts
 * would be too small to be used. The others send hardly anything: one request each after a long time, in turn, to hear
 * whether the limit still holds. A gateway that has just heard of a limit waits like one that has just sent.
 */
export class LimitAdmission {
    readonly #availabilityZone: string;
    readonly #zoneRanks: RendezvousRanks;
    readonly #fleetRanks: RendezvousRanks;
    readonly #sentAtMs = new Map<string, number>();

    /**
     * @param name - of this gateway, as in its registration
     * @param availabilityZone - its own
     */
    constructor(name: string, availabilityZone: string) {
        this.#availabilityZone = availabilityZone;
        this.#zoneRanks = new RendezvousRanks(name);
        this.#fleetRanks = new RendezvousRanks(name);
    }

    /** @returns how long this gateway must wait until it may send to the server, in milliseconds; 0 where it may now */
    waitMs(input: LimitAdmissionInput): number {
        const { serverId, limit, nowMs } = input;
        const { intervalMs, firstAfterMs } = this.#partOf(input);
        const sentAtMs = this.#sentAtMs.get(serverId) ?? -Infinity;
        const nextAtMs = sentAtMs >= limit.sinceMs ? sentAtMs + intervalMs : limit.sinceMs + firstAfterMs;
        return Math.max(0, nextAtMs - nowMs);
    }

    /** A request goes to the server. */
    onSend(serverId: string, nowMs: number): void {
        this.#sentAtMs.set(serverId, nowMs);
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        this.#zoneRanks.retain(serverIds);
        this.#fleetRanks.retain(serverIds);
        for (const serverId of this.#sentAtMs.keys()) {
            if (!serverIds.has(serverId)) {
                this.#sentAtMs.delete(serverId);
            }
        }
    }

    #partOf(input: LimitAdmissionInput): LimitPart {
        const perSecond = Math.max(minLimitPerSecond, input.limit.perSecond);
        const wanted = Math.ceil(perSecond * ownerLimitShare / minPerSecondPerLimitOwner);
        const gateways = Math.max(1, input.gateways.length);
        const owners = Math.min(gateways, maxLimitOwners, Math.max(minLimitOwners, wanted));
        if (this.#isOwner(input, owners)) {
            const intervalMs = oneSecondMs * owners / (perSecond * ownerLimitShare);
            return { intervalMs, firstAfterMs: intervalMs };
        }
        const intervalMs = oneSecondMs * gateways / (perSecond * limitRecheckShare);
        // All of them may have heard of the limit at once: by their ranks they look one after the other.
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
