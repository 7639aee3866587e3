/** What a replay plays. All times are milliseconds, rates are a second. */
import { type PlacementPolicy, type RepeatAllowance } from "@galenaglade/placement";
import { type ServerShape } from "./simulatedServer.js";

/** Gateways of one size. */
export interface GatewayGroup {
    readonly count: number;
    /** Share of a core that each gets. */
    readonly cores: number;
}

/** Backend servers of one service, spread evenly over the availability zones. */
export interface ServiceGroup {
    readonly name: string;
    readonly servers: number;
    readonly shape: ServerShape;
    /** Requests a second that a cold server bears from all gateways together. */
    readonly coldPerSecond: number;
}

/** One kind of request. */
export interface RequestKind {
    readonly name: string;
    readonly service: string;
    readonly perSecond: number;
    /** Mean time of the work on a server that is neither slow nor full; each request's is drawn around it. */
    readonly workMs: number;
    /** Largest deviation from the mean, as a share of it. */
    readonly workSpread: number;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
    /** How long its callers wait. */
    readonly patienceMs: number;
    readonly idempotent: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Tries of a caller after its first one. */
    readonly retries: number;
}

/** What a gateway's event loop and the network take for each step. */
export interface Costs {
    /** Processor time on a whole core: to read a request, for a load probe and its answer, to send, to answer. */
    readonly requestMs: number;
    readonly probeMs: number;
    readonly sendMs: number;
    readonly answerMs: number;
    /** Processor time of a start, until callers' requests are taken. */
    readonly startMs: number;
    /** Time from there until the store has been read for the first time. */
    readonly firstReadMs: number;
    /** How many times longer all that takes until the code is compiled, and for how many requests. */
    readonly coldCodeFactor: number;
    readonly coldCodeRequests: number;
    /** One way within an availability zone, and into another one. */
    readonly nearMs: number;
    readonly farMs: number;
    /** What a new connection takes beyond its round trip. */
    readonly connectMs: number;
}

/** Something that happens to the fleet at a time. */
export type FleetEvent = { readonly atMs: number; } & FleetEventAction;

export type FleetEventAction =
    /** Requests come faster for a while, of one kind or of all. */
    | { readonly type: "burst"; readonly factor: number; readonly forMs: number; readonly kind: string | undefined; }
    /** Gateways lose power for a while, and start anew. */
    | { readonly type: "restartGateways"; readonly share: number; readonly downMs: number; }
    /** Servers are replaced by cold ones, one after the other. */
    | {
        readonly type: "release";
        readonly share: number;
        readonly gapMs: number;
        readonly coldMs: number;
        readonly service: string | undefined;
    }
    /** An availability zone gets no new work for a while; its servers are cold when it is back. */
    | { readonly type: "zoneOut"; readonly zone: string; readonly forMs: number; readonly coldMs: number; }
    /** Servers are gone for a while. */
    | {
        readonly type: "loseServers";
        readonly share: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers turn away a share of what reaches them although they have room. */
    | {
        readonly type: "turnAway";
        readonly share: number;
        readonly rejects: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers turn away all that reaches them, and ask each gateway for rest; gateways heed it or go on as before. */
    | {
        readonly type: "restServers";
        readonly share: number;
        readonly restMs: number;
        readonly heeded: boolean;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    | {
        readonly type: "slowServers";
        readonly share: number;
        readonly factor: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** Servers name a limit of requests a second from all gateways together. */
    | {
        readonly type: "limitServers";
        readonly share: number;
        readonly perSecond: number;
        readonly forMs: number;
        readonly service: string | undefined;
    }
    /** A share of the callers leaves after a time. */
    | { readonly type: "giveUp"; readonly share: number; readonly afterMs: number; readonly forMs: number; }
    /** A share of the callers comes back at once whatever it is told, and more often. */
    | { readonly type: "impatience"; readonly share: number; readonly tries: number; readonly forMs: number; }
    /** A share of one zone's callers uses the gateways of another zone. */
    | {
        readonly type: "moveCallers";
        readonly share: number;
        readonly from: string;
        readonly zone: string;
        readonly forMs: number;
    };

/** A load that is replayed on the decisions, without input or output and on a clock of its own. */
export interface Scenario {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    /** Length of a window of the report. */
    readonly windowMs: number;
    readonly zones: readonly string[];
    readonly gateways: readonly GatewayGroup[];
    readonly services: readonly ServiceGroup[];
    readonly requests: readonly RequestKind[];
    readonly costs: Costs;
    readonly repeats: RepeatAllowance;
    /** Load probes from all gateways together, a server and second. */
    readonly probesPerServerAndSecond: number;
    /** Largest share of the other gateways that a gateway doesn't know of. */
    readonly unknownGateways: number;
    readonly events: readonly FleetEvent[];
    /** Settings of the placement that differ from their defaults. */
    readonly policy: Partial<PlacementPolicy>;
    /** Sends to any server at once and never refuses, in place of the placement's decisions. */
    readonly randomPlacement: boolean;
    /** Whether a starting gateway holds what comes before its first reading of the store; otherwise it refuses. */
    readonly holdsAtStart: boolean;
}

/** Costs of nothing: decisions alone. */
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
