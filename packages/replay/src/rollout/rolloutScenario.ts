import { type RolloutStatus } from "@galenaglade/fleet-state";

/** How a version fails its requests. */
export const badnesses = ["none", "errors", "slow", "oneRoute", "underLoad", "late"] as const;
export type Badness = typeof badnesses[number];

/** What goes wrong beside a roll-out. */
export const rolloutTroubles = [
    "none",
    "deaths",
    "coordinatorDies",
    "lostWrites",
    "storeAway",
    "cuts",
    "sharedFaults",
] as const;
export type RolloutTrouble = typeof rolloutTroubles[number];

/** What is played. Times are milliseconds, shares from 0 to 1. */
export interface WorldScenario {
    readonly seed: number;
    readonly gateways: number;
    readonly requestsPerSecond: number;
    readonly badness: Badness;
    /** Share of the requests concerned that fail. */
    readonly badShare: number;
    /** Share of the old version's requests that fail, and of everybody's during a trouble. */
    readonly usualBadShare: number;
    readonly allowedMs: number;
    readonly trouble: RolloutTrouble;
}

/** What came of it. */
export interface WorldResult {
    /** Every status in the order in which it was written. */
    readonly statuses: readonly RolloutStatus[];
    readonly sends: number;
    readonly exposed: number;
    /** Requests sent to the new version after it was known everywhere to be rolled back. */
    readonly afterRollBack: number;
    /** Sends to the old version, or under way there, when the new one was completed, by gateways in touch. */
    readonly leftBehind: number;
    readonly endedAtMs: number | undefined;
}
