/** Times by which a fleet of gateways stays together; all in milliseconds, and the same in every process of a fleet. */
export interface FleetTimings {
    /** How long a gateway may take new work after it was last shown to hold the newest configuration. */
    readonly freshForMs: number;
    /** Added wherever one process waits until another's time has run out: clocks run at slightly different rates. */
    readonly marginMs: number;
    /** Between two reads of the store; a third of {@link freshForMs}, so that one lost answer costs nothing. */
    readonly storeReadIntervalMs: number;
    /** Shortest time between two heartbeats to the same peer; the traffic budget may stretch it. */
    readonly heartbeatIntervalMs: number;
    /** How long one call of a peer may take. */
    readonly callTimeoutMs: number;
    /** How long a registration outlives its last renewal. */
    readonly leaseTtlMs: number;
    /** How long a registration has to be gone until its gateway leaves the roster; longer than a restart takes. */
    readonly removeAfterMs: number;
    /** How much longer the next in line waits before it changes the roster, so that not all try at once. */
    readonly rosterUpdateStaggerMs: number;
}

/** The times that are used where settings name none. */
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

/** Control traffic that one gateway may send, in bytes a second. */
export const controlBytesPerSecond = 3_000;
/** Budget that may be saved up, in bytes: one heartbeat to each of 14 peers. */
export const controlBurstBytes = 8_000;
/** What one heartbeat without loads costs, in bytes: a call and the answer to a peer's call, with headers. */
export const heartbeatBytes = 820;
/** What one signal or one load adds to a heartbeat, in bytes. */
export const heartbeatEntryBytes = 110;

/** Changes that are remembered beside the head, so that a repeated call is recognised after later ones. */
export const maxRecentChanges = 64;

/** Keys of the platform's store. */
export const storeKeys = Object.freeze({
    head: "configuration/head",
    fleetPrefix: "fleet/",
    roster: "fleet/roster",
    memberPrefix: "fleet/members/",
    forgottenPrefix: "fleet/forgotten/",
});

/**
 * Times that follow from how long a gateway may go without word from the store.
 *
 * @param freshForMs - {@link FleetTimings.freshForMs}
 * @returns frozen times
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
