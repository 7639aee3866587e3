import { findOwners } from "@galenaglade/fleet-state";
import { maxFairShareFactor } from "./constants.js";

/** The gateways with which one gateway shares the load probes of a service's servers, and where those servers are. */
export interface ProbingZone {
    readonly availabilityZone: string;
    readonly gateways: readonly string[];
    /** Servers of the service there. */
    readonly servers: number;
}

/** A fleet by availability zone. */
export interface FleetByZone {
    readonly gatewaysByZone: ReadonlyMap<string, readonly string[]>;
    /** Servers of one service that may be given work. */
    readonly serversByZone: ReadonlyMap<string, number>;
}

/**
 * Deals gateways to the availability zones whose servers they probe first: each to its own zone, unless that has far fewer of a
 * service's servers than its part of the fleet's gateways. Such a zone's servers would be too few for its gateways, and in a zone
 * that was taken out there are none: its gateways would have next to no probes elsewhere, and after a restart, when nothing is
 * known, nothing to go by. The surplus goes to the other zones by how many servers they have for their gateways.
 *
 * Everyone finds the same deal without a message. While views differ, a server has at most two groups, whose shares together
 * are within the allowance.
 *
 * @param fleet - gateways and a service's servers
 * @returns the zones, each with the gateways that probe its servers first
 */
export function assignProbingZones({ gatewaysByZone, serversByZone }: FleetByZone): readonly ProbingZone[] {
    const gateways = sum([...gatewaysByZone.values()].map(names => names.length));
    const servers = sum([...serversByZone.values()]);
    const zones = [...new Set([...gatewaysByZone.keys(), ...serversByZone.keys()])].sort();
    const surplus: string[] = [];
    const dealt = zones.map(zone => {
        const own = gatewaysByZone.get(zone) ?? [];
        const fair = servers === 0 ? own.length : gateways * (serversByZone.get(zone) ?? 0) / servers;
        const most = Math.ceil(fair * maxFairShareFactor);
        const ranked = own.length > most ? findOwners("probing zone", own, own.length) : own;
        surplus.push(...ranked.slice(most));
        const kept = ranked.slice(0, most);
        return { zone, kept, room: Math.max(0, fair - kept.length) };
    });
    const ordered = findOwners("probing zone", surplus, surplus.length);
    const allRoom = sum(dealt.map(({ room }) => room));
    let from = 0;
    let roomBefore = 0;
    return dealt.map(({ zone, kept, room }) => {
        roomBefore += room;
        const to = allRoom === 0 ? from : Math.round(ordered.length * roomBefore / allRoom);
        const taken = ordered.slice(from, to);
        from = to;
        return {
            availabilityZone: zone,
            gateways: taken.length === 0 ? kept : [...kept, ...taken],
            servers: serversByZone.get(zone) ?? 0,
        };
    });
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, each) => total + each, 0);
}
