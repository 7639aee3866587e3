import { findOwners } from "@galenaglade/fleet-state";
import { maxFairShareFactor } from "./constants.js";

/** An availability zone with the gateways that share the load probes of a service's servers there. */
export interface ProbingZone {
    readonly availabilityZone: string;
    readonly gateways: readonly string[];
    /** Number of servers of the service in the zone. */
    readonly servers: number;
}

/** Gateways and servers by availability zone. */
export interface FleetByZone {
    readonly gatewaysByZone: ReadonlyMap<string, readonly string[]>;
    /** Number of servers of one service that may be sent requests. */
    readonly serversByZone: ReadonlyMap<string, number>;
}

/**
 * Assigns gateways to the availability zones whose servers they probe first. A gateway is assigned to its own zone,
 * unless the zone's share of the service's servers is far smaller than its share of the gateways. Such a zone has too
 * few servers for its gateways, and a zone that was taken out has none: its gateways would have hardly any probes for
 * other zones, and after a restart no information to place requests by. The surplus gateways are distributed to the
 * other zones in proportion to their shortage of gateways.
 *
 * All gateways compute the same assignment without coordination. While their views differ, a server has at most two
 * groups, whose shares together stay within the allowance.
 *
 * @param fleet - gateways and a service's servers, by zone
 * @returns the zones, each with the gateways that probe its servers first
 */
export function assignProbingZones({ gatewaysByZone, serversByZone }: FleetByZone): readonly ProbingZone[] {
    const gateways = sum([...gatewaysByZone.values()].map(names => names.length));
    const servers = sum([...serversByZone.values()]);
    const zones = [...new Set([...gatewaysByZone.keys(), ...serversByZone.keys()])].sort();
    const surplus: string[] = [];
    const assigned = zones.map(zone => {
        const own = gatewaysByZone.get(zone) ?? [];
        const fairShare = servers === 0 ? own.length : gateways * (serversByZone.get(zone) ?? 0) / servers;
        const maxKept = Math.ceil(fairShare * maxFairShareFactor);
        const ranked = own.length > maxKept ? findOwners("probing zone", own, own.length) : own;
        surplus.push(...ranked.slice(maxKept));
        const kept = ranked.slice(0, maxKept);
        return { zone, kept, shortage: Math.max(0, fairShare - kept.length) };
    });
    const ordered = findOwners("probing zone", surplus, surplus.length);
    const totalShortage = sum(assigned.map(({ shortage }) => shortage));
    let from = 0;
    let cumulativeShortage = 0;
    return assigned.map(({ zone, kept, shortage }) => {
        cumulativeShortage += shortage;
        const to = totalShortage === 0 ? from : Math.round(ordered.length * cumulativeShortage / totalShortage);
        const added = ordered.slice(from, to);
        from = to;
        return {
            availabilityZone: zone,
            gateways: added.length === 0 ? kept : [...kept, ...added],
            servers: serversByZone.get(zone) ?? 0,
        };
    });
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, each) => total + each, 0);
}
