import { type BackendServer } from "@galenaglade/configuration";
import { type RandomSource } from "./randomSource.js";
import { type ServerId } from "./serverSignal.js";

/** A backend server's own last word on the load that others put on it. */
export interface LastReport {
    readonly othersInFlight: number;
    readonly ageMs: number;
}

/** What a policy may know of one backend server that it may send to now. */
export interface Candidate {
    readonly serverId: ServerId;
    readonly server: BackendServer;
    /** Requests in flight from this gateway; always current. */
    readonly ownInFlight: number;
    /** Requests in flight from everybody else as last heard; `undefined` where nothing fresh is known. */
    readonly othersInFlight: number | undefined;
    /** Requests in flight from everybody else when the server last said so, however long ago; `undefined` if never. */
    readonly lastReported: LastReport | undefined;
    /** Smoothed latency, in milliseconds; `undefined` where nothing fresh is known. */
    readonly latencyMs: number | undefined;
    /** Whether the server is in this gateway's availability zone. */
    readonly local: boolean;
}

/** Chooses where a request goes. It holds no clock and no socket. */
export abstract class RoutingPolicy {
    /** Name as settings and figures write it. */
    abstract readonly name: string;

    /** Whether others' in-flight counts come from peers' heartbeats rather than from the servers' answers. */
    readonly usesPeerLoads: boolean = false;

    /**
     * Chooses one of the candidates.
     *
     * @param candidates - backend servers that may take the request; never empty
     * @param random - the gateway's seeded source
     * @returns the index of the chosen candidate
     */
    abstract choose(candidates: readonly Candidate[], random: RandomSource): number;
}
