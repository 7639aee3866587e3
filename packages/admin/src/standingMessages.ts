import { type Configuration, findUnservedServices } from "@galenaglade/configuration";
import { type ChangeStatus, type GatewayChangeStatus } from "@galenaglade/membership";
import { GatewayState, HostState } from "@galenaglade/schema";
import { type HostEntry } from "@galenaglade/platform";
import { parseOperatorChangeId } from "./changeId.js";

const gatewayStates: Readonly<Record<GatewayChangeStatus["state"], GatewayState>> = {
    inForce: GatewayState.IN_FORCE,
    behind: GatewayState.BEHIND,
    unreachable: GatewayState.UNREACHABLE,
    lapsed: GatewayState.LAPSED,
};

const hostStates: Readonly<Record<HostEntry["state"], HostState>> = {
    live: HostState.LIVE,
    leaving: HostState.LEAVING,
};

/**
 * Converts the acceptance of a revision to the API's Standing message.
 *
 * @param acceptance - which gateways have the revision in force
 * @param cfg - the configuration of that revision; `undefined` if it has been replaced or can't be read
 * @returns initial values of a Standing message
 */
export function toStandingInit(acceptance: ChangeStatus, cfg: Configuration | undefined) {
    const zonesOut = cfg?.availabilityZones.filter(zone => zone.state === "out").map(zone => zone.name) ?? [];
    return {
        revision: acceptance.revision,
        changeId: parseOperatorChangeId(acceptance.changeId),
        inForce: acceptance.inForce,
        gateways: acceptance.gateways.map(toGatewayStandingInit),
        unservedServices: cfg === undefined ? [] : [...findUnservedServices(cfg)],
        zonesOut,
    };
}

/** Initial values of a Standing message. */
export type StandingInit = ReturnType<typeof toStandingInit>;

function toGatewayStandingInit(standing: GatewayChangeStatus) {
    return {
        name: standing.gateway.name,
        availabilityZone: standing.gateway.availabilityZone,
        state: gatewayStates[standing.state],
        revision: standing.revision,
    };
}

/**
 * Finds the state of the host with an address.
 *
 * @param hosts - the platform's host list, which may be outdated
 * @param address - IP address
 * @returns the host's state; unspecified if several hosts have the address
 */
export function findHostState(hosts: readonly HostEntry[], address: string): HostState {
    const [host, ...others] = hosts.filter(candidate => candidate.address === address);
    if (host === undefined) {
        return HostState.UNLISTED;
    }
    return others.length > 0 ? HostState.UNSPECIFIED : hostStates[host.state];
}

/**
 * Joins the platform's hosts with the gateways that run on them.
 *
 * @param hosts - the platform's host list, which may be outdated
 * @param gateways - the registered gateways
 * @returns initial values of Host messages; gateways whose hosts aren't listed come last
 */
export function toHostInits(hosts: readonly HostEntry[], gateways: readonly GatewayChangeStatus[]) {
    const byName = new Map(gateways.map(standing => [standing.gateway.name, standing]));
    const listed = hosts.map(host => {
        const standing = byName.get(host.name);
        byName.delete(host.name);
        return {
            name: host.name,
            address: host.address,
            availabilityZone: host.availabilityZone,
            state: hostStates[host.state],
            gateway: standing && toGatewayStandingInit(standing),
        };
    });
    const unlisted = [...byName.values()].map(standing => ({
        name: standing.gateway.name,
        address: "",
        availabilityZone: standing.gateway.availabilityZone,
        state: HostState.UNLISTED,
        gateway: toGatewayStandingInit(standing),
    }));
    return [...listed, ...unlisted];
}
