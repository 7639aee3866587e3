import { type ServerAddress } from "./model.js";
import { parseSocketAddress } from "./socketAddress.js";

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

/**
 * Parses the stored value of a registration.
 *
 * @param value - the stored value
 * @returns the registration, or `undefined` if it is incomplete; such a gateway counts as a member but is not used as
 * a relay
 */
export function readGatewayRegistration(value: string): GatewayRegistration | undefined {
    let parsed: unknown;
    try {
        parsed = JSON.parse(value);
    }
    catch {
        return undefined;
    }
    const { availabilityZone, peers } = Object(parsed) as {
        readonly availabilityZone?: unknown;
        readonly peers?: unknown;
    };
    const peerAddress = parseSocketAddress(peers);
    return typeof availabilityZone === "string" && peerAddress !== undefined
        ? { availabilityZone, peerAddress }
        : undefined;
}
