/** Timeouts and intervals of a fleet, in milliseconds. They must be the same in all processes of the fleet. */
export interface FleetTimings {
    /** Time for which a gateway may accept new work after its configuration was last confirmed as the latest. */
    readonly freshForMs: number;
    /** Added when a process waits for a timeout in another process, since clocks run at slightly different rates. */
    readonly marginMs: number;
    /** Interval between reads of the store; less than a third of {@link freshForMs}, so that one read may fail. */
    readonly storeReadIntervalMs: number;
    /** Minimum interval between heartbeats to the same peer; the traffic budget may extend it. */
    readonly heartbeatIntervalMs: number;
    /** Timeout of a call to a peer. */
    readonly callTimeoutMs: number;
    /** Time from the last renewal of a registration to its expiry. */
    readonly leaseTtlMs: number;
    /** Time without a registration after which a gateway is removed from the roster; longer than a restart takes. */
    readonly removeAfterMs: number;
    /** Additional delay of each further gateway before it writes the roster, so that they don't all write at once. */
    readonly rosterUpdateStaggerMs: number;
}

/** Used unless the settings specify other values. */
export const defaultFleetTimings: FleetTimings = Object.freeze({
    freshForMs: 5_000,
    marginMs: 500,
    storeReadIntervalMs: 1_500,
    heartbeatIntervalMs: 1_000,
    callTimeoutMs: 1_000,
    leaseTtlMs: 10_000,
    removeAfterMs: 30_000,
    rosterUpdateStaggerMs: 2_000,
});

/** Maximum rate of control traffic that a gateway sends, in bytes per second. */
export const controlBytesPerSecond = 3_000;
/** Maximum burst of control traffic, in bytes: meant for one heartbeat to each of 14 peers. */
export const controlBurstBytes = 8_000;
/** Size of a heartbeat without signals and loads: a call and the response to a peer's call, with headers. */
export const heartbeatBytes = 820;
/** Size of one signal or load in a heartbeat. */
export const heartbeatEntryBytes = 110;

/** Number of changes stored with the head, so that a repeated call is recognized after later changes. */
export const maxRecentChanges = 64;

/** Keys in the platform's store. */
export const storeKeys = Object.freeze({
    head: "configuration/head",
    fleetPrefix: "fleet/",
    roster: "fleet/roster",
    memberPrefix: "fleet/members/",
    forgottenPrefix: "fleet/forgotten/",
});

/**
 * Derives a fleet's timings from the time for which a gateway may accept work without a confirmation by the store.
 *
 * @param freshForMs - {@link FleetTimings.freshForMs}
 * @returns the timings, frozen
 */
export function resolveFleetTimings(freshForMs: number): FleetTimings {
    const defaults = defaultFleetTimings;
    const scale = freshForMs / defaults.freshForMs;
    return Object.freeze({
        ...defaults,
        freshForMs,
        marginMs: Math.max(defaults.marginMs, Math.ceil(defaults.marginMs * scale)),
        storeReadIntervalMs: Math.floor(defaults.storeReadIntervalMs * scale),
        heartbeatIntervalMs: Math.min(defaults.heartbeatIntervalMs, Math.floor(defaults.heartbeatIntervalMs * scale)),
        callTimeoutMs: Math.min(defaults.callTimeoutMs, Math.floor(defaults.callTimeoutMs * scale)),
    });
}
