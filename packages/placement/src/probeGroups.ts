import { type RegisteredServer, RendezvousRanks } from "@galenaglade/fleet-state";
import {
    evenProbeShare,
    groupProbeShare,
    maxGroupGatewaysPerProbe,
    probeBurstMs,
    reserveProbeShare,
    reserveGatewaysPerProbe,
} from "./constants.js";
import { type PlacementPolicy } from "./policy.js";

/** Gateways that share a backend server's allowance of load probes. */
export interface ProbingFleet {
    /** Names of all gateways in the roster; the same array as long as the roster doesn't change. */
    readonly gateways: readonly string[];
    /** Gateways of this gateway's availability zone. */
    readonly zoneGateways: readonly string[];
    /** All gateways by availability zone. If omitted, the gateways of each zone probe the zone's own servers first. */
    readonly gatewaysByZone?: ReadonlyMap<string, readonly string[]>;
}

/** One gateway's share of a backend server's probe allowance, as a token bucket. */
export interface ProbeShare {
    readonly probesPerMs: number;
    /** Capacity of the bucket. */
    readonly maxSavedProbes: number;
    /** Probes available right after a start of the gateway. */
    readonly initialProbes: number;
}

const noShare: ProbeShare = Object.freeze({ probesPerMs: 0, maxSavedProbes: 0, initialProbes: 0 });

/**
 * Divides each backend server's allowance of load probes among the gateways, which also determines the subset of
 * servers that a gateway probes first.
 *
 * In a small fleet all gateways get equal shares. In a large one an equal share is one probe every few seconds: a
 * gateway uses up its shares of the few servers that it probes all the time, and wastes its shares of all other
 * servers. Each server therefore has a group of gateways of its availability zone, chosen by rendezvous hashing without
 * coordination, that gets most of the allowance. The group is large enough for each gateway to be in the groups of
 * `subsetServers` servers of a service. A reserve of gateways of all zones gets a small share, for the case that all
 * servers of a zone are gone. All other gateways never probe the server. The allowance bounds the sizes of the group
 * and the reserve, so it is respected however large the fleet is.
 */
export class ProbeGroups {
    readonly #zoneRanks: RendezvousRanks;
    readonly #fleetRanks: RendezvousRanks;
    readonly #availabilityZone: string;
    readonly #perServerAndSecond: number;
    readonly #subsetServers: number;
    #fleet: ProbingFleet = { gateways: [], zoneGateways: [] };

    /**
     * @param name - name of this gateway, as registered
     * @param availabilityZone - zone of this gateway
     * @param perServerAndSecond - load probes per second that one server gets from all gateways together
     * @param policy - the size of the subset of a service's servers that a gateway probes first
     */
    constructor(
        name: string,
        availabilityZone: string,
        perServerAndSecond: number,
        { subsetServers }: Pick<PlacementPolicy, "subsetServers">,
    ) {
        this.#zoneRanks = new RendezvousRanks(name);
        this.#fleetRanks = new RendezvousRanks(name);
        this.#availabilityZone = availabilityZone;
        this.#perServerAndSecond = perServerAndSecond;
        this.#subsetServers = subsetServers;
    }

    /** Replaces the roster. */
    update(fleet: ProbingFleet): void {
        this.#fleet = fleet;
        this.#zoneRanks.update(fleet.zoneGateways);
        this.#fleetRanks.update(fleet.gateways);
    }

    /**
     * @param server - the server
     * @param zoneServers - number of servers of its service in this gateway's zone
     * @returns whether this gateway is in the server's group
     */
    isInGroup({ id, availabilityZone }: RegisteredServer, zoneServers: number): boolean {
        return availabilityZone === this.#availabilityZone
            && this.#zoneRanks.rankOf(id) < this.#groupSize(zoneServers);
    }

    /**
     * @param server - the server
     * @param zoneServers - number of servers of its service in this gateway's zone
     * @returns this gateway's share of the server's allowance
     */
    shareOf(server: RegisteredServer, zoneServers: number): ProbeShare {
        const gateways = Math.max(1, this.#fleet.gateways.length);
        if (gateways <= this.#maxGroupSize()) {
            return this.#createShare(evenProbeShare, gateways);
        }
        if (this.isInGroup(server, zoneServers)) {
            return this.#createShare(groupProbeShare, this.#groupSize(zoneServers));
        }
        const reserve = Math.max(1, Math.floor(this.#perServerAndSecond * reserveGatewaysPerProbe));
        return this.#fleetRanks.rankOf(server.id) < reserve
            ? this.#createShare(reserveProbeShare, reserve)
            : noShare;
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        this.#zoneRanks.retain(serverIds);
        this.#fleetRanks.retain(serverIds);
    }

    #createShare(share: number, gateways: number): ProbeShare {
        const probesPerMs = this.#perServerAndSecond * share / gateways / 1_000;
        // At least one probe, or a gateway with a small share could never probe.
        const maxSavedProbes = Math.max(1, probesPerMs * probeBurstMs);
        return { probesPerMs, maxSavedProbes, initialProbes: maxSavedProbes };
    }

    #groupSize(zoneServers: number): number {
        const gateways = Math.max(1, this.#fleet.zoneGateways.length);
        const wantedSize = Math.ceil(this.#subsetServers * gateways / Math.max(1, zoneServers));
        return Math.min(gateways, this.#maxGroupSize(), wantedSize);
    }

    /**
     * Each gateway may save up one probe and has one after a restart; in a larger group these alone would exceed the
     * allowance.
     */
    #maxGroupSize(): number {
        return Math.max(1, Math.floor(this.#perServerAndSecond * maxGroupGatewaysPerProbe));
    }
}
