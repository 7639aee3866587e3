/** Scenario of a replay. All times are in milliseconds and all rates per second. */
import { type PlacementPolicy, type RepeatAllowance } from "@galenaglade/placement";
import { type ServerShape } from "./simulatedServer.js";

/** Gateways with the same CPU allocation. */
export interface GatewayGroup {
    readonly count: number;
    /** CPU cores per gateway; may be a fraction. */
    readonly cores: number;
}

/** Backend servers of one service, distributed evenly over the availability zones. */
export interface ServiceGroup {
    readonly name: string;
    readonly servers: number;
    readonly shape: ServerShape;
    /** Maximum rate of requests to a cold server from all gateways together. */
    readonly coldPerSecond: number;
}

/** One kind of request. */
export interface RequestKind {
    readonly name: string;
    readonly service: string;
    readonly perSecond: number;
    /** Mean execution time on a server that is neither slow nor full; that of each request is drawn around it. */
    readonly workMs: number;
    /** Maximum deviation from the mean, as a share of it. */
    readonly workSpread: number;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
    /** How long callers wait for a response. */
    readonly patienceMs: number;
    readonly idempotent: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of retries of a caller. */
    readonly retries: number;
}

/** Simulated costs of a gateway's event loop and of the network. */
export interface Costs {
    /** CPU time on a whole core to read a request. */
    readonly requestMs: number;
    /** CPU time to send a load probe, and again to read its response. */
    readonly probeMs: number;
    /** CPU time to send a request to a server. */
    readonly sendMs: number;
    /** CPU time to process a server's response. */
    readonly answerMs: number;
    /** CPU time of a process start until the gateway accepts requests. */
    readonly startMs: number;
    /** Time from then until the first read of the store is complete. */
    readonly firstReadMs: number;
    /** Factor on all CPU times until the code has been compiled, which takes `coldCodeRequests` requests. */
    readonly coldCodeFactor: number;
    readonly coldCodeRequests: number;
    /** One-way network latency within an availability zone. */
    readonly nearMs: number;
    /** One-way network latency between availability zones. */
    readonly farMs: number;
    /** Time to set up a new connection in addition to its round trip. */
    readonly connectMs: number;
}

/** An event that affects the fleet at a given time. */
export type FleetEvent = { readonly atMs: number; } & FleetEventAction;

export type FleetEventAction =
    /** The request rate of one or all kinds rises for a while. */
    | { readonly type: "burst"; readonly factor: number; readonly forMs: number; readonly kind: string | undefined; }
    /** Gateways lose power for a while, and then restart without state. */
    | { readonly type: "restartGateways"; readonly share: number; readonly downMs: number; }
    /** A rolling release: servers are replaced by cold ones, one after another. */
    | {
        readonly type: "release";
        readonly share: number;
        readonly gapMs: number;
        readonly coldMs: number;
        readonly service: string | undefined;
    }
    /** An availability zone is taken out for a while; its servers are cold when it is back. */
    | { readonly type: "zoneOut"; readonly zone: string; readonly forMs: number; readonly coldMs: number; }
    /** Servers are down for a while. */
    | {
        readonly type: "loseServers";
        readonly share: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers reject a share of the requests that reach them, although they have free slots. */
    | {
        readonly type: "turnAway";
        readonly share: number;
        readonly rejects: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers reject all requests and ask gateways to back off, which gateways do only if `heeded` is set. */
    | {
        readonly type: "restServers";
        readonly share: number;
        readonly restMs: number;
        readonly heeded: boolean;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Requests take longer on some servers for a while. */
    | {
        readonly type: "slowServers";
        readonly share: number;
        readonly factor: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers advertise a rate limit for all gateways together. */
    | {
        readonly type: "limitServers";
        readonly share: number;
        readonly perSecond: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** A share of the callers gives up after a shorter time than usual. */
    | { readonly type: "giveUp"; readonly share: number; readonly afterMs: number; readonly forMs: number; }
    /** A share of the callers ignores Retry-After: it retries immediately, up to `tries` times. */
    | { readonly type: "impatience"; readonly share: number; readonly tries: number; readonly forMs: number; }
    /** A share of the callers of one zone uses the gateways of another zone. */
    | {
        readonly type: "moveCallers";
        readonly share: number;
        readonly from: string;
        readonly zone: string;
        readonly forMs: number;
    };

/** A load, the fleet that serves it, and the events that affect both during the replay. */
export interface Scenario {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    /** Length of one window of the report. */
    readonly windowMs: number;
    readonly zones: readonly string[];
    readonly gateways: readonly GatewayGroup[];
    readonly services: readonly ServiceGroup[];
    readonly requests: readonly RequestKind[];
    readonly costs: Costs;
    readonly repeats: RepeatAllowance;
    /** Maximum load probes per server and second from all gateways together. */
    readonly probesPerServerAndSecond: number;
    /** Maximum share of the other gateways that are missing from a gateway's membership view. */
    readonly unknownGateways: number;
    readonly events: readonly FleetEvent[];
    /** Placement settings that differ from the defaults. */
    readonly policy: Partial<PlacementPolicy>;
    /** Sends each request to a random server immediately, without placement decisions or refusals. */
    readonly randomPlacement: boolean;
    /** Whether a starting gateway holds requests until its first read of the store; otherwise it refuses them. */
    readonly holdsAtStart: boolean;
}

/** Zero costs, for replays of the placement decisions alone. */
export const zeroCosts: Costs = Object.freeze({
    requestMs: 0,
    probeMs: 0,
    sendMs: 0,
    answerMs: 0,
    startMs: 0,
    firstReadMs: 0,
    coldCodeFactor: 1,
    coldCodeRequests: 0,
    nearMs: 0,
    farMs: 0,
    connectMs: 0,
});
