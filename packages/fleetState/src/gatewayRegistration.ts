import { type ServerAddress } from "./model.js";

/** Contents of a gateway's registration in the store. */
export interface GatewayRegistration {
    readonly availabilityZone: string;
    /** Address at which it relays store changes to other gateways. */
    readonly peerAddress: ServerAddress;
}

/** @returns the stored value of a gateway's registration */
export function renderGatewayRegistration({ availabilityZone, peerAddress }: GatewayRegistration): string {
    return JSON.stringify({ availabilityZone, peers: `${peerAddress.host}:${peerAddress.port}` });
}

const peersAddress = /^(.+):(\d{1,5})$/;

/**
 * Parses the stored value of a registration.
 *
 * @param value - the stored value
 * @returns the registration, or `undefined` if it is incomplete; such a gateway counts as a member but is not used as
 * a relay
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
