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

const addressPattern = /^(.+):(\d{1,5})$/;

/**
 * Parses the stored value of a registration.
 *
 * @param value - the stored value
 * @returns the registration, or `undefined` if it is incomplete; such a gateway counts as a member but is not used as
 * a relay
 */
export function readGatewayRegistration(value: string): GatewayRegistration | undefined {
    let parsed: { readonly availabilityZone?: unknown; readonly peers?: unknown; };
    try {
        parsed = JSON.parse(value) as typeof parsed;
    }
    catch {
        return undefined;
    }
    const [, host, port] = addressPattern.exec(String(parsed.peers)) ?? [];
    if (typeof parsed.availabilityZone !== "string" || host === undefined || port === undefined) {
        return undefined;
    }
    return { availabilityZone: parsed.availabilityZone, peerAddress: { host, port: Number(port) } };
}
