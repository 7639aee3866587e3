import { type ParsedLimit } from "./advertisedLimits.js";

/** Load that a backend server reports for one moment. */
export interface LoadReport {
    /** Requests being processed, and requests queued for a slot. */
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current latency of requests on its machine, as a multiple of the usual latency. */
    readonly slowdown: number;
}

/** Status of one backend server, from a load probe or from the load reported with a response. */
export interface ServerStatus {
    readonly serverId: string;
    readonly availabilityZone: string;
    /** `undefined` if its service doesn't report load. */
    readonly load: LoadReport | undefined;
    readonly slots: number;
    /** Whether it reported that it is healthy and not leaving. */
    readonly healthy: boolean;
    /** Remaining time of its cold start in milliseconds; 0 for a warm server. */
    readonly coldRemainingMs: number;
    /** Request rate limit in the response. */
    readonly limit?: ParsedLimit;
}
