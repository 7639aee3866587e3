import { stringify } from "yaml";

/** Ports that one gateway listens on. */
export interface GatewayPorts {
    readonly callers: number;
    readonly peers: number;
    readonly operations: number;
}

/** What all processes of a fleet share. */
export interface SharedSettings {
    readonly platformUrl: string;
    readonly fleetKey: string;
    /** Whether gateways warm cold backend servers up under permits. */
    readonly enforcesColdStart: boolean;
}

/** Short, since nothing balances callers on loopback. */
const balancerWaitMs = 100;
const address = "127.0.0.1";

/**
 * Writes a gateway's settings.
 *
 * @param name - of its host
 * @param availabilityZone - where its host stands
 * @param ports - where it listens
 * @param peerPorts - where the other gateways listen to peers
 * @param shared - what it has in common with them
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
 * Writes the operators' server's settings.
 *
 * @param port - where it listens
 * @param shared - what it has in common with the gateways
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
