/** What a fleet's store says, in the product's own terms. All times are milliseconds. */
import { type CrashReport } from "./crashReport.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type Workspace } from "@galenaglade/workspaces";

/** Where a backend server or a gateway listens. */
export interface ServerAddress {
    readonly host: string;
    readonly port: number;
}

/** One start of one backend server, as it registered itself. */
export interface RegisteredServer {
    readonly id: string;
    readonly service: string;
    readonly address: ServerAddress;
    readonly availabilityZone: string;
    /** Requests that it runs at the same time. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** How much longer it is cold, from when the entry was written. */
    readonly coldRemainingMs: number;
    /** When this start began, on the server's clock; tells two starts under one id apart. */
    readonly startedAtEpochMs: number | undefined;
    /** Version of its software, where it says one. */
    readonly version?: string | undefined;
    /** Rises with what it writes from one start on; tells which of two entries is the older one. */
    readonly sequence?: number | undefined;
}

/** An operator's order to move a service to a new version. */
export interface RolloutOrder {
    readonly service: string;
    readonly version: string;
    /** Time within which it has to end, from when it was given. */
    readonly allowedMs: number;
}

/**
 * How far a roll-out is. In a trial the new version gets a bounded share, when widened a larger one, when shifted everything;
 * the last two are final.
 */
export type RolloutStage = "trial" | "widened" | "shifted" | "completed" | "rolledBack";

/** What the fleet has decided on a service's latest roll-out. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly stage: RolloutStage;
    /** When the order was first seen, by the time of day of the gateway that saw it. */
    readonly startedAtEpochMs: number;
    /** Versions that were rolled back, latest last; they get no request again. */
    readonly rejectedVersions: readonly string[];
}

/** One share of a route's requests. */
export interface Destination {
    readonly service: string;
    /** Its share is this over the sum of all weights of the route. */
    readonly weight: number;
}

/** What operators say of one kind of request. */
export interface Route {
    readonly name: string;
    /** Value of the Host header, without port, in lower case. */
    readonly authority: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly idempotent: boolean;
    /** Backend servers on which one request may run, at most. */
    readonly maximumRuns: number;
    /** Longest time that a request is kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer is of full use to its caller. */
    readonly objectiveMs: number;
    /** Rank; 0 goes first. */
    readonly priority: number;
    readonly destinations: readonly Destination[];
    /** Whether callers need no key where the configuration has workspaces. */
    readonly open?: boolean;
    /** Whether its answers are large. They are streamed like any other that is too large to be held. */
    readonly largeAnswers?: boolean;
}

/** What operators say of one service. */
export interface ServiceRules {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from everyone together. */
    readonly maximumConnections: number;
    /** Requests a second that a cold backend server bears from everyone together. */
    readonly coldRequestsPerSecond: number;
}

/** What callers may take up. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface FleetConfiguration {
    /** Rises with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceRules[];
    readonly limits: CallerLimits;
    /** `undefined` where nobody is asked for a key. */
    readonly workspaces?: readonly Workspace[] | undefined;
}

/** One key of the store, decoded. */
export type StateItem =
    | { readonly type: "configuration"; readonly key: string; readonly configuration: FleetConfiguration; }
    /** Nothing more is to be sent into the availability zone. */
    | {
        readonly type: "zoneOut";
        readonly key: string;
        readonly availabilityZone: string;
        /** The store's revision at which it was written, in its term. */
        readonly revision?: number | undefined;
    }
    | { readonly type: "server"; readonly key: string; readonly server: RegisteredServer; }
    | { readonly type: "rolloutOrder"; readonly key: string; readonly order: RolloutOrder; }
    | {
        readonly type: "rolloutStatus";
        readonly key: string;
        readonly status: RolloutStatus;
        /** The store's revision at which it was written. */
        readonly revision: number;
    }
    | {
        readonly type: "gateway";
        readonly key: string;
        readonly name: string;
        /** With which the registration falls; `undefined` for one that stays. */
        readonly leaseId: string | undefined;
        /** `undefined` where it says nothing of itself that can be read. */
        readonly registration: GatewayRegistration | undefined;
    }
    | {
        readonly type: "crashReport";
        readonly key: string;
        readonly gateway: string;
        readonly report: CrashReport;
        /** The store's revision at which it was written. */
        readonly revision: number;
    }
    /** Nobody here needs it, or it can't be read; `reason` says why where it should have been readable. */
    | { readonly type: "ignored"; readonly key: string; readonly reason: string | undefined; };

/** What the store reported as changed. */
export interface StateChanges {
    readonly items: readonly StateItem[];
    readonly deletedKeys: readonly string[];
}
