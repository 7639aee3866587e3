/** Sizes and times of a soak run. Times are milliseconds. */

/** Entry hosts: two in each of two zones, so that one of each reads the store and one asks it, few enough for several runs. */
export const edgeCount = 4;

/** Backend servers of each service, dealt over the availability zones in turn. */
export const serversPerService = 4;

export const availabilityZones = ["north", "middle", "south"] as const;

/** How many of the availability zones have gateways. */
export const gatewayZoneCount = 2;

export const services = ["tables", "returns"] as const;

/** Time until callers are let in, for the gateways to read the store and register. */
export const startupSettleMs = 2_500;

/** Time in which faults begin. */
export const faultPhaseMs = 11_000;

/** Calm time at the end: the last fault's end, the time to recover, and the span that is looked at. */
export const recoveryPhaseMs = 9_000;

/** The last part of the calm time, in which nearly everything must be served. */
export const recoveryCheckMs = 3_000;

/** Least share served in that part. */
export const minRecoveredShare = 0.95;

/** Requests a second from all callers in calm times: a tenth of what the servers bear. */
export const requestsPerSecond = 50;

/** Longest time for which a caller waits. */
export const patienceMs = 3_000;

/** Longest time for which the operator lets a request wait. */
export const routeTimeoutMs = 2_000;

export const objectiveMs = 600;

/** Time beyond its route's timeout after which a request counts as held: one of half a second, on a machine that is shared. */
export const hangToleranceMs = 1_500;

/** A planned stop must be over after this time. */
export const stopGraceMs = 6_000;

/** Calm time after which every gateway must know what the store says; half a second above what the users give. */
export const convergenceMs = 3_500;

/** Time after the store's word in which a configuration must be in force and a draining server left alone. */
export const applyMs = 2_500;

/** Time after the store's word in which an availability zone that was taken out must be left alone. */
export const zoneOutMs = 5_500;

/** Requests a second that a cold server bears, and how long it is cold. */
export const coldRequestsPerSecond = 4.2;
export const coldDurationMs = 3_000;

/** What a cold server may be given in one second, with the users' tolerance: 1.5 times the rate and 5 more. */
export const maxColdPerSecond = coldRequestsPerSecond * 1.5 + 5;

/** Repeats that the whole fleet may send: a share of the requests and a fixed part in a window. */
export const repeatRatio = 0.2;
export const repeatSlack = 30;
export const repeatWindowMs = 10_000;

/** Usual work of one request on a backend server. */
export const typicalWorkMs = 40;

/** Requests that a backend server runs at the same time, and that wait for it. */
export const serverSlots = 3;
export const maxServerQueue = 6;

/** Leases of the store don't get shorter than this. */
export const minLeaseSeconds = 1;

/** Questions for its load that one backend server may be asked a second, from all gateways together. */
export const maxProbesPerServerAndSecond = 60;

/** Versions of the servers' software: the one that a run begins with, and the one that is rolled out. */
export const initialServerVersion = "v1";
export const rolloutServerVersion = "v2";

/** Servers of the next version, and the time in which its roll-out has to end, in milliseconds. */
export const rolloutServerCount = 4;
export const rolloutTimeoutMs = 13_000;

/** Share of a service's requests that a version may get before it is proved: enough to prove one in the time of a run. */
export const exposureShare = 0.4;
export const exposureSlack = 20;

/** How long after a roll-back was read in the store a gateway may go on with the version, with the tolerance of a shared machine. */
export const rollbackGraceMs = 3_500;

/** How often the operator looks at a roll-out, in milliseconds. */
export const rolloutPollPeriodMs = 100;

/** Servers that a request ends before it counts as deadly, and how often servers may get it after all gateways must know. */
export const maxQueryOfDeathCrashes = 3;
export const maxQueryOfDeathRetries = 3;

/** What a server that names a limit may get from the gateways that it has told, with the users' tolerance. */
export const serverLimitBounds = Object.freeze({
    factor: 1.5,
    slack: 5,
    windowMs: 4_000,
    settleMs: convergenceMs,
    gatewayGraceMs: 500,
});

/** Whether hosts keep the limits of workspaces; where not, a run has neither limits nor callers that exceed one. */
export const enforcesWorkspaceLimits = true;

/** What the requests of a workspace with a limit may add up to, with the users' tolerance. */
export const workspaceLimitBounds = Object.freeze({ windowMs: 5_000, overshoot: 0.1, slack: 20 });

/** What a server that wants rest may get from a gateway that it has told, and from when on. */
export const serverBackoffBounds = Object.freeze({ inFlightGraceMs: 500, maxRequests: 2 });
