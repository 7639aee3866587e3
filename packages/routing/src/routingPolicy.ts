import { type BackendServer } from "@galenaglade/configuration";
import { type RandomSource } from "./randomSource.js";
import { type ServerId } from "./serverSignal.js";

/** Last load report of a backend server, without the requests of this gateway. */
export interface LastReport {
    /** Requests in flight from other gateways. */
    readonly othersInFlight: number;
    readonly ageMs: number;
}

/** A backend server that may receive a request now, with the load data that policies may use. */
export interface Candidate {
    readonly serverId: ServerId;
    readonly server: BackendServer;
    /** Requests in flight from this gateway; always current. */
    readonly ownInFlight: number;
    /** Requests in flight from other gateways; `undefined` if there is no recent data. */
    readonly othersInFlight: number | undefined;
    /** The server's last load report, regardless of its age; `undefined` if there was none. */
    readonly lastReported: LastReport | undefined;
    /** Moving average of the latency in milliseconds; `undefined` if there is no recent sample. */
    readonly latencyMs: number | undefined;
    /** Whether the server is in this gateway's availability zone. */
    readonly local: boolean;
}

/** Chooses the backend server for a request. Implementations use no clock and no I/O. */
export abstract class RoutingPolicy {
    /** Name in settings and benchmark results. */
    abstract readonly name: string;

    /**
     * Whether {@link Candidate.othersInFlight} is taken from the other gateways' heartbeats instead of the servers'
     * load reports.
     */
    readonly usesPeerLoads: boolean = false;

    /**
     * Chooses one of the candidates.
     *
     * @param candidates - available backend servers; never empty
     * @param random - the gateway's random number generator
     * @returns the index of the chosen candidate
     */
    abstract choose(candidates: readonly Candidate[], random: RandomSource): number;
}
