import { stringify } from "yaml";

/** TCP ports that one gateway listens on. */
export interface GatewayPorts {
    readonly callers: number;
    readonly peers: number;
    readonly operations: number;
}

/** Settings shared by all processes of a fleet. */
export interface SharedSettings {
    readonly platformUrl: string;
    readonly fleetKey: string;
    /** Whether gateways warm up cold backend servers under permits. */
    readonly enforcesColdStart: boolean;
}

/** Delay of a gateway's shutdown in milliseconds. Short, since no external load balancer is involved on loopback. */
const balancerWaitMs = 100;
const address = "127.0.0.1";

/**
 * Renders a gateway's settings file.
 *
 * @param name - name of its host
 * @param availabilityZone - availability zone of its host
 * @param ports - ports that it listens on
 * @param peerPorts - peer ports of the other gateways
 * @param shared - settings shared by the fleet
 * @returns YAML
 */
export function renderGatewaySettings(
    name: string,
    availabilityZone: string,
    ports: GatewayPorts,
    peerPorts: readonly number[],
    shared: SharedSettings,
): string {
    return stringify({
        name,
        availabilityZone,
        callers: { address, port: ports.callers },
        peers: { address, port: ports.peers, seeds: peerPorts.map(port => `${address}:${port}`) },
        operations: { port: ports.operations },
        platform: { address: shared.platformUrl },
        fleetKey: { value: shared.fleetKey },
        stopping: { balancerWaitMs },
        coldStart: { enforced: shared.enforcesColdStart },
    });
}

/**
 * Renders the admin server's settings file.
 *
 * @param port - port that it listens on
 * @param shared - settings shared by the fleet
 * @returns YAML
 */
export function renderAdminSettings(port: number, shared: SharedSettings): string {
    return stringify({
        address,
        port,
        platform: { address: shared.platformUrl },
        fleetKey: { value: shared.fleetKey },
    });
}
