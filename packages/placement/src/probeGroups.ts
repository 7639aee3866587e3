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

/** The gateways that share a backend server's allowance of load probes. */
export interface ProbingFleet {
    /** Names of all gateways that count; the same array while they are the same. */
    readonly gateways: readonly string[];
    /** Those of this gateway's own availability zone. */
    readonly zoneGateways: readonly string[];
    /** All of them by availability zone; left out, each zone keeps to its own servers. */
    readonly gatewaysByZone?: ReadonlyMap<string, readonly string[]>;
}

/** What one gateway may ask of one backend server. */
export interface ProbeShare {
    readonly probesPerMs: number;
    /** Probes that may be saved up. */
    readonly maxSavedProbes: number;
    /** Probes that a gateway has when it has just started. */
    readonly initialProbes: number;
}

const noShare: ProbeShare = Object.freeze({ probesPerMs: 0, maxSavedProbes: 0, initialProbes: 0 });

/**
 * Deals out each backend server's allowance of load probes among the gateways, and with it says which servers a gateway
 * probes before others.
 *
 * A small fleet shares evenly. In a large one an even part is a probe every few seconds, used up by a gateway that probes
 * the same few servers all the time, and wasted on all the others. So a server has a group of gateways of its own
 * availability zone, found by rendezvous hashing without a message, that get most of the allowance; the group is as large as
 * it takes for each gateway to be in the groups of `subsetServers` servers of a service. A reserve of gateways of all zones
 * shares a small part, for the time when a zone's own servers are gone; the rest never probes the server. Both numbers are
 * bounded by the allowance, so it holds however large the fleet is.
 */
export class ProbeGroups {
    readonly #zoneRanks: RendezvousRanks;
    readonly #fleetRanks: RendezvousRanks;
    readonly #availabilityZone: string;
    readonly #perServerAndSecond: number;
    readonly #subsetServers: number;
    #fleet: ProbingFleet = { gateways: [], zoneGateways: [] };

    /**
     * @param name - of this gateway, as in its registration
     * @param availabilityZone - its own
     * @param perServerAndSecond - load probes of one server from all gateways together
     * @param policy - how many servers of a service a gateway probes before others
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

    /** The gateways that count from now on. */
    update(fleet: ProbingFleet): void {
        this.#fleet = fleet;
        this.#zoneRanks.update(fleet.zoneGateways);
        this.#fleetRanks.update(fleet.gateways);
    }

    /**
     * @param server - the server
     * @param zoneServers - servers of its service in this gateway's zone
     * @returns whether this gateway is in the server's group
     */
    isInGroup({ id, availabilityZone }: RegisteredServer, zoneServers: number): boolean {
        return availabilityZone === this.#availabilityZone
            && this.#zoneRanks.rankOf(id) < this.#groupSize(zoneServers);
    }

    /**
     * @param server - the server
     * @param zoneServers - servers of its service in this gateway's zone
     * @returns this gateway's part of the server's allowance
     */
    shareOf(server: RegisteredServer, zoneServers: number): ProbeShare {
        const gateways = Math.max(1, this.#fleet.gateways.length);
        if (gateways <= this.#mostInGroup()) {
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

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        this.#zoneRanks.retain(serverIds);
        this.#fleetRanks.retain(serverIds);
    }

    #createShare(share: number, gateways: number): ProbeShare {
        const perMs = this.#perServerAndSecond * share / gateways / 1_000;
        // At least one probe, or a gateway could never ask.
        const mostSaved = Math.max(1, perMs * probeBurstMs);
        return { probesPerMs: perMs, maxSavedProbes: mostSaved, initialProbes: mostSaved };
    }

    #groupSize(zoneServers: number): number {
        const gateways = Math.max(1, this.#fleet.zoneGateways.length);
        const wanted = Math.ceil(this.#subsetServers * gateways / Math.max(1, zoneServers));
        return Math.min(gateways, this.#mostInGroup(), wanted);
    }

    /** Each gateway may save one probe, and has one after a restart; with more of them that alone would be too much. */
    #mostInGroup(): number {
        return Math.max(1, Math.floor(this.#perServerAndSecond * maxGroupGatewaysPerProbe));
    }
}
