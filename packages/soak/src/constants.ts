/** Sizes and durations of a soak run, in milliseconds unless the name says otherwise. */

/**
 * Gateways: two in each of two zones, so that in each zone one reads the store and one gets its changes from that one.
 * Few enough for several concurrent runs.
 */
export const edgeCount = 4;

/** Backend servers of each service, distributed round-robin over the availability zones. */
export const serversPerService = 4;

export const availabilityZones = ["north", "middle", "south"] as const;

/** Number of availability zones with gateways. */
export const gatewayZoneCount = 2;

export const services = ["tables", "returns"] as const;

/** Time before the load begins, in which the gateways read the store and register. */
export const startupSettleMs = 2_500;

/** Duration of the phase in which faults are injected. */
export const faultPhaseMs = 11_000;

/** Duration of the phase without faults at the end of a run: time to recover, then {@link recoveryCheckMs}. */
export const recoveryPhaseMs = 9_000;

/** Final part of the recovery phase, in which nearly all requests must succeed. */
export const recoveryCheckMs = 3_000;

/** Minimum share of successful requests in {@link recoveryCheckMs}. */
export const minRecoveredShare = 0.95;

/** Requests per second from all callers, without bursts: a tenth of the servers' capacity. */
export const requestsPerSecond = 50;

/** How long a caller waits for a response, as sent with its requests. */
export const patienceMs = 3_000;

/** Request timeout of each route. */
export const routeTimeoutMs = 2_000;

export const objectiveMs = 600;

/** Timeout and objective of the route for long work and large responses. */
export const bulkTimeoutMs = 5_000;
export const bulkObjectiveMs = 1_000;

/** Time beyond the route timeout after which a request counts as hanging: half a second, raised for shared machines. */
export const hangToleranceMs = 1_500;

/** Maximum duration of a planned stop. */
export const stopGraceMs = 6_000;

/** Time after a caller has left by which all that was done for it has to be over, in milliseconds. */
export const callersLeftMs = 500;

/** Time without faults after which every gateway must have the store's state: half a second above the requirement. */
export const convergenceMs = 3_500;

/**
 * Time after the store's acknowledgement until a configuration is in force, and until a draining server gets no more
 * requests.
 */
export const applyMs = 2_500;

/** Time after the store's acknowledgement until an availability zone that was taken out gets no more requests. */
export const zoneOutMs = 5_500;

/** Requests per second that a cold server can handle, and how long it is cold. */
export const coldRequestsPerSecond = 4.2;
export const coldDurationMs = 3_000;

/** Maximum requests to a cold server in one second, with the required tolerance of 1.5 times the rate plus 5. */
export const maxColdPerSecond = coldRequestsPerSecond * 1.5 + 5;

/** Retry budget of the whole fleet: a share of the requests in a window, plus a fixed number. */
export const repeatRatio = 0.2;
export const repeatSlack = 30;
export const repeatWindowMs = 10_000;

/** Typical processing time of a request on a backend server. */
export const typicalWorkMs = 40;

/** Maximum number of requests that a backend server runs concurrently, and that it queues. */
export const serverSlots = 3;
export const maxServerQueue = 6;

/** Minimum duration of a lease in the store. */
export const minLeaseSeconds = 1;

/** Maximum load probes per second that one backend server gets from all gateways together. */
export const maxProbesPerServerAndSecond = 60;

/** Server versions: the initial one, and the one that is rolled out. */
export const initialServerVersion = "v1";
export const rolloutServerVersion = "v2";

/** Number of servers of the new version, and the time limit of its rollout. */
export const rolloutServerCount = 4;
export const rolloutTimeoutMs = 13_000;

/** Maximum share of a service's requests that an unverified version gets: enough to verify it within a run. */
export const exposureShare = 0.4;
export const exposureSlack = 20;

/** How long gateways may send to a version after its rollback was read from the store, on a shared machine. */
export const rollbackGraceMs = 3_500;

/** Interval at which the operator reads the stage of a rollout. */
export const rolloutPollPeriodMs = 100;

/**
 * Number of servers that a query of death may crash before it is quarantined, and how often servers may get it once all
 * gateways must have quarantined it.
 */
export const maxQueryOfDeathCrashes = 3;
export const maxQueryOfDeathRetries = 3;

/**
 * Bounds of the requests to a server that advertises a rate limit, from the gateways that it has informed, with the
 * required tolerance.
 */
export const serverLimitBounds = Object.freeze({
    factor: 1.5,
    slack: 5,
    windowMs: 4_000,
    settleMs: convergenceMs,
    gatewayGraceMs: 500,
});

/** Whether gateways enforce workspace limits; if not, runs have neither limits nor callers that exceed them. */
export const enforcesWorkspaceLimits = true;

/** Bounds of the requests of a workspace with a rate limit, with the required tolerance. */
export const workspaceLimitBounds = Object.freeze({ windowMs: 5_000, overshoot: 0.1, slack: 20 });

/** Bounds of the requests to a server from a gateway that it has asked to back off. */
export const serverBackoffBounds = Object.freeze({ inFlightGraceMs: 500, maxRequests: 2 });
