import { type RolloutStatus } from "@galenaglade/fleet-state";

/** How a version fails its requests. */
export const versionFaults = ["none", "errors", "slow", "oneRoute", "underLoad", "late"] as const;
export type VersionFault = typeof versionFaults[number];

/** What goes wrong beside a roll-out. */
export const injectedFaults = [
    "none",
    "deaths",
    "coordinatorDies",
    "lostWrites",
    "storeAway",
    "cuts",
    "sharedFaults",
] as const;
export type InjectedFault = typeof injectedFaults[number];

/** What is played. Times are milliseconds, shares from 0 to 1. */
export interface RolloutScenario {
    readonly seed: number;
    readonly gateways: number;
    readonly requestsPerSecond: number;
    readonly badness: VersionFault;
    /** Share of the requests concerned that fail. */
    readonly badShare: number;
    /** Share of the old version's requests that fail, and of everybody's during a trouble. */
    readonly baselineBadShare: number;
    readonly allowedMs: number;
    readonly trouble: InjectedFault;
}

/** What came of it. */
export interface RolloutSimulationResult {
    /** Every status in the order in which it was written. */
    readonly statuses: readonly RolloutStatus[];
    readonly sends: number;
    readonly newVersionSends: number;
    /** Requests sent to the new version after it was known everywhere to be rolled back. */
    readonly sendsAfterRollback: number;
    /** Sends to the old version, or under way there, when the new one was completed, by gateways in touch. */
    readonly oldVersionInFlightAtCompletion: number;
    readonly endedAtMs: number | undefined;
}
