import { type ServerAddress } from "./model.js";

/** What a gateway's registration says of it. */
export interface GatewayRegistration {
    readonly availabilityZone: string;
    /** Where it tells other gateways changes of the store. */
    readonly peerAddress: ServerAddress;
}

/** @returns the value of a gateway's registration */
export function renderGatewayRegistration({ availabilityZone, peerAddress }: GatewayRegistration): string {
    return JSON.stringify({ availabilityZone, peers: `${peerAddress.host}:${peerAddress.port}` });
}

const peersAddress = /^(.+):(\d{1,5})$/;

/**
 * Reads the value of a registration.
 *
 * @param value - as it lies in the store
 * @returns what it says, or `undefined` where it says less: such a gateway counts, and nobody asks it for changes
 */
export function readGatewayRegistration(value: string): GatewayRegistration | undefined {
    let read: { readonly availabilityZone?: unknown; readonly peers?: unknown; };
    try {
        read = JSON.parse(value) as typeof read;
    }
    catch {
        return undefined;
    }
    const [, host, port] = peersAddress.exec(String(read.peers)) ?? [];
    if (typeof read.availabilityZone !== "string" || host === undefined || port === undefined) {
        return undefined;
    }
    return { availabilityZone: read.availabilityZone, peerAddress: { host, port: Number(port) } };
}
