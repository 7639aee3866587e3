import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { otherSubsetPenalty, otherZonePenalty, probeOrderJitter, suspectPenalty } from "./constants.js";

/** What decides whom to ask first. */
export interface ProbeOrderInput {
    /** Those that may be given work. */
    readonly servers: readonly RegisteredServer[];
    /** The gateway's own. */
    readonly availabilityZone: string;
    /** Whether a server is one that this gateway probes before others. */
    readonly isInSubset: (server: RegisteredServer) => boolean;
    readonly isSuspect: (serverId: string) => boolean;
    /** How likely a server is good now, from 0 to 1. */
    readonly goodChanceOf: (serverId: string) => number;
    readonly random: RandomSource;
}

/**
 * Orders a service's servers by who is to be asked first: trusted ones before suspected ones, and then those that are
 * likely good, where one of the own availability zone and there of the gateway's subset goes before others unless it is
 * clearly less likely. Among equals the order is drawn anew each time, so that no server is asked by everyone.
 *
 * @param input - what decides
 */
export function orderForProbing(input: ProbeOrderInput): readonly RegisteredServer[] {
    const { servers, isSuspect, goodChanceOf, random } = input;
    const keyed = servers.map(server => ({
        server,
        key: (isSuspect(server.id) ? suspectPenalty : 0) + resolveDistance(server, input)
            - goodChanceOf(server.id) + probeOrderJitter * random.next(),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({ server }) => server);
}

function resolveDistance(server: RegisteredServer, { availabilityZone, isInSubset }: ProbeOrderInput): number {
    if (isInSubset(server)) {
        return server.availabilityZone === availabilityZone ? 0 : otherSubsetPenalty;
    }
    return server.availabilityZone === availabilityZone ? otherSubsetPenalty : otherZonePenalty;
}
