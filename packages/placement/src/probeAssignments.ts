import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type PlacementPolicy } from "./policy.js";
import { ProbeGroups, type ProbeShare, type ProbingFleet } from "./probeGroups.js";
import { assignProbingZones, type ProbingZone } from "./probingZones.js";

/** Dependencies and settings of {@link ProbeAssignments}. */
export interface ProbeAssignmentsDeps {
    /** Name of this gateway, as registered. */
    readonly name: string;
    /** Zone of this gateway. */
    readonly availabilityZone: string;
    /** Load probes per second that one server gets from all gateways together. */
    readonly probesPerServerAndSecond: number;
    readonly policy: Pick<PlacementPolicy, "subsetServers">;
}

/** Cached probing zone of this gateway for one service, valid for one state of the fleet. */
interface CachedZone {
    readonly fleet: ProbingFleet["gatewaysByZone"];
    readonly servers: string;
    readonly zone: ProbingZone;
}

/**
 * This gateway's shares of the probe allowances of each service's servers, by the zone that the gateway probes first.
 */
export class ProbeAssignments {
    readonly #deps: ProbeAssignmentsDeps;
    /** By service and zone: each service has its own assignment of gateways, and ranks are updated incrementally. */
    readonly #groups = new Map<string, ProbeGroups>();
    readonly #zones = new Map<string, CachedZone>();

    constructor(deps: ProbeAssignmentsDeps) {
        this.#deps = deps;
    }

    /**
     * @param service - name of the service
     * @param usable - servers of the service that may be sent requests
     * @param fleet - gateways that share the allowance
     * @returns this gateway's assignment for probing the servers
     */
    of(service: string, usable: readonly RegisteredServer[], fleet: ProbingFleet): ProbeAssignment {
        const zone = this.#zoneOf(service, usable, fleet);
        const groups = this.#groupsOf(service, zone.availabilityZone);
        groups.update({ gateways: fleet.gateways, zoneGateways: zone.gateways });
        return {
            isInGroup: server => groups.isInGroup(server, zone.servers),
            shareOf: server => groups.shareOf(server, zone.servers),
        };
    }

    /** Drops the entries of servers that are no longer registered. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const groups of this.#groups.values()) {
            groups.retain(serverIds);
        }
    }

    #zoneOf(service: string, usable: readonly RegisteredServer[], fleet: ProbingFleet): ProbingZone {
        const { name, availabilityZone } = this.#deps;
        const serversByZone = countByZone(usable);
        const own: ProbingZone = {
            availabilityZone,
            gateways: fleet.zoneGateways,
            servers: serversByZone.get(availabilityZone) ?? 0,
        };
        const { gatewaysByZone } = fleet;
        if (gatewaysByZone === undefined) {
            return own;
        }
        const servers = JSON.stringify([...serversByZone].sort());
        const cached = this.#zones.get(service);
        if (cached !== undefined && cached.fleet === gatewaysByZone && cached.servers === servers) {
            return cached.zone;
        }
        const zones = assignProbingZones({ gatewaysByZone, serversByZone });
        const zone = zones.find(({ gateways }) => gateways.includes(name)) ?? own;
        this.#zones.set(service, { fleet: gatewaysByZone, servers, zone });
        return zone;
    }

    #groupsOf(service: string, availabilityZone: string): ProbeGroups {
        const { name, probesPerServerAndSecond, policy } = this.#deps;
        const key = JSON.stringify([service, availabilityZone]);
        const groups = this.#groups.get(key)
            ?? new ProbeGroups(name, availabilityZone, probesPerServerAndSecond, policy);
        this.#groups.set(key, groups);
        return groups;
    }
}

/** One gateway's assignment for probing the servers of one service. */
export interface ProbeAssignment {
    /** Whether a server belongs to the subset that the gateway probes first. */
    readonly isInGroup: (server: RegisteredServer) => boolean;
    /** The gateway's share of a server's allowance. */
    readonly shareOf: (server: RegisteredServer) => ProbeShare;
}

function countByZone(servers: readonly RegisteredServer[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { availabilityZone } of servers) {
        counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
    }
    return counts;
}
