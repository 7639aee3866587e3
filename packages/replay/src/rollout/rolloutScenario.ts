import { type RolloutStatus } from "@galenaglade/fleet-state";

/** Faults of the new version: errors or slow responses, or errors only on one route, under load, or some time later. */
export const versionFaults = ["none", "errors", "slow", "oneRoute", "underLoad", "late"] as const;
export type VersionFault = typeof versionFaults[number];

/** Faults injected into gateways, the store or all servers during a rollout. */
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

/** A simulated rollout. Times are in milliseconds, shares are from 0 to 1. */
export interface RolloutScenario {
    readonly seed: number;
    readonly gateways: number;
    readonly requestsPerSecond: number;
    readonly badness: VersionFault;
    /** Share of the affected requests to the new version that fail or are slow. */
    readonly badShare: number;
    /** Share of the requests to either version that fail without a fault of the version. */
    readonly baselineBadShare: number;
    readonly allowedMs: number;
    readonly trouble: InjectedFault;
}

/** Outcome of a simulated rollout. */
export interface RolloutSimulationResult {
    /** All statuses in the order in which they were written. */
    readonly statuses: readonly RolloutStatus[];
    /** Requests sent to either version since the order. */
    readonly sends: number;
    /** Requests sent to the new version. */
    readonly newVersionSends: number;
    /** Requests sent to the new version after every gateway must know that it was rolled back. */
    readonly sendsAfterRollback: number;
    /** Requests that were running on the old version when the rollout was completed. */
    readonly oldVersionInFlightAtCompletion: number;
    /** Time from the order until the final status was written; `undefined` if there is none. */
    readonly endedAtMs: number | undefined;
}
