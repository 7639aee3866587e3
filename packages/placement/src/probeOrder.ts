import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { otherSubsetPenalty, otherZonePenalty, probeOrderJitter, suspectPenalty } from "./constants.js";

/** Input to the probe order. */
export interface ProbeOrderInput {
    /** Servers that may be sent requests. */
    readonly servers: readonly RegisteredServer[];
    /** Zone of this gateway. */
    readonly availabilityZone: string;
    /** Whether a server belongs to the subset that this gateway probes first. */
    readonly isInSubset: (server: RegisteredServer) => boolean;
    readonly isSuspect: (serverId: string) => boolean;
    /** Probability that a server is good now, from 0 to 1. */
    readonly goodChanceOf: (serverId: string) => number;
    readonly random: RandomSource;
}

/**
 * Orders a service's servers for probing. Suspected servers come last. The others are ordered by their probability of
 * being good, with a preference for the gateway's own zone and its subset there unless they are clearly less likely to
 * be good. Each call adds random jitter, so that not every gateway probes the same server.
 *
 * @param input - the servers and what is known of them
 * @returns the servers, the one to be probed first at the head
 */
export function orderForProbing(input: ProbeOrderInput): readonly RegisteredServer[] {
    const { servers, isSuspect, goodChanceOf, random } = input;
    const sorted = servers.map(server => ({
        server,
        sortKey: (isSuspect(server.id) ? suspectPenalty : 0) + resolveDistancePenalty(server, input)
            - goodChanceOf(server.id) + probeOrderJitter * random.next(),
    }));
    sorted.sort((a, b) => a.sortKey - b.sortKey);
    return sorted.map(({ server }) => server);
}

function resolveDistancePenalty(server: RegisteredServer, { availabilityZone, isInSubset }: ProbeOrderInput): number {
    if (isInSubset(server)) {
        return server.availabilityZone === availabilityZone ? 0 : otherSubsetPenalty;
    }
    return server.availabilityZone === availabilityZone ? otherSubsetPenalty : otherZonePenalty;
}
