import { readGatewayRegistration, renderGatewayRegistration, type StateItem } from "@galenaglade/fleet-state";

/** @returns a gateway's registration as read from the store */
export function createGatewayItem(name: string): StateItem {
    const value = renderGatewayRegistration({ availabilityZone: "north", peerAddress: { host: "10.0.0.2", port: 90 } });
    return { type: "gateway", key: name, name, leaseId: "1", registration: readGatewayRegistration(value) };
}
