import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type PlacementPolicy } from "./policy.js";
import { ProbeGroups, type ProbeShare, type ProbingFleet } from "./probeGroups.js";
import { assignProbingZones, type ProbingZone } from "./probingZones.js";

/** What service probes are made with. */
export interface ProbeAssignmentsDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** The gateway's own. */
    readonly availabilityZone: string;
    /** Load probes from all gateways together, a server and second. */
    readonly probesPerServerAndSecond: number;
    readonly policy: Pick<PlacementPolicy, "subsetServers">;
}

/** The probing zone of one gateway for one service, as long as the fleet stays as it is. */
interface KnownZone {
    readonly fleet: ProbingFleet["gatewaysByZone"];
    readonly servers: string;
    readonly zone: ProbingZone;
}

/** What one gateway may ask of the servers of each service: by the group of gateways of the zone that it probes first. */
export class ProbeAssignments {
    readonly #parts: ProbeAssignmentsDeps;
    /** By service and zone: gateways are dealt anew for each service, and ranks are kept up by differences. */
    readonly #groups = new Map<string, ProbeGroups>();
    readonly #zones = new Map<string, KnownZone>();

    constructor(parts: ProbeAssignmentsDeps) {
        this.#parts = parts;
    }

    /**
     * @param service - the service
     * @param usable - its servers that may be given work
     * @param fleet - the gateways that share the allowance
     * @returns this gateway's part in probing them
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

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const groups of this.#groups.values()) {
            groups.retain(serverIds);
        }
    }

    #zoneOf(service: string, usable: readonly RegisteredServer[], fleet: ProbingFleet): ProbingZone {
        const { name, availabilityZone } = this.#parts;
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
        const known = this.#zones.get(service);
        if (known !== undefined && known.fleet === gatewaysByZone && known.servers === servers) {
            return known.zone;
        }
        const dealt = assignProbingZones({ gatewaysByZone, serversByZone });
        const zone = dealt.find(({ gateways }) => gateways.includes(name)) ?? own;
        this.#zones.set(service, { fleet: gatewaysByZone, servers, zone });
        return zone;
    }

    #groupsOf(service: string, availabilityZone: string): ProbeGroups {
        const { name, probesPerServerAndSecond, policy } = this.#parts;
        const key = JSON.stringify([service, availabilityZone]);
        const groups = this.#groups.get(key)
            ?? new ProbeGroups(name, availabilityZone, probesPerServerAndSecond, policy);
        this.#groups.set(key, groups);
        return groups;
    }
}

/** One gateway's part in probing the servers of one service. */
export interface ProbeAssignment {
    /** Whether it probes a server before others. */
    readonly isInGroup: (server: RegisteredServer) => boolean;
    /** Its part of the server's allowance. */
    readonly shareOf: (server: RegisteredServer) => ProbeShare;
}

function countByZone(servers: readonly RegisteredServer[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { availabilityZone } of servers) {
        counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1);
    }
    return counts;
}
