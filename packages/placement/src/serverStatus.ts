import { type ParsedLimit } from "./advertisedLimits.js";

/** What a backend server says of its load at one moment. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on its machine now, as a multiple of the usual time. */
    readonly slowdown: number;
}

/** What asking one backend server brought. */
export interface ServerStatus {
    readonly serverId: string;
    readonly availabilityZone: string;
    /** `undefined` where its service doesn't tell. */
    readonly load: LoadReport | undefined;
    readonly slots: number;
    /** Whether it said that it is well and not leaving. */
    readonly healthy: boolean;
    /** How much longer it is cold; 0 where it is warm. */
    readonly coldRemainingMs: number;
    /** What the answer says of a limit. */
    readonly limit?: ParsedLimit;
}
