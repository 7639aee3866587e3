/** Decoded contents of the fleet's store. All times are in milliseconds. */
import { type CrashReport } from "./crashReport.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type Workspace } from "@galenaglade/workspaces";

/** Where a backend server or a gateway listens. */
export interface ServerAddress {
    readonly host: string;
    readonly port: number;
}

/** One start of a backend server, as it registered itself. */
export interface RegisteredServer {
    readonly id: string;
    readonly service: string;
    readonly address: ServerAddress;
    readonly availabilityZone: string;
    /** Number of requests that it processes concurrently. */
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Remaining cold-start time when the entry was written. */
    readonly coldRemainingMs: number;
    /** Start time on the server's own clock; distinguishes successive starts under the same id. */
    readonly startedAtEpochMs: number | undefined;
    /** Software version, if the server reports one. */
    readonly version?: string | undefined;
    /** Increases with each entry that the server writes during one start; orders two entries by age. */
    readonly sequence?: number | undefined;
}

/** An operator's order to roll out a new version of a service. */
export interface RolloutOrder {
    readonly service: string;
    readonly version: string;
    /** Time within which the rollout must finish, measured from the order. */
    readonly allowedMs: number;
}

/**
 * Stage of a rollout. The new version gets a bounded share of the requests in `trial`, a larger share in `widened`,
 * and all requests in `shifted`. `completed` and `rolledBack` are final.
 */
export type RolloutStage = "trial" | "widened" | "shifted" | "completed" | "rolledBack";

/** The fleet's decision on the latest rollout of a service. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly stage: RolloutStage;
    /** When a gateway first saw the order, by that gateway's wall clock. */
    readonly startedAtEpochMs: number;
    /** Versions that were rolled back, most recent last. They get no more requests. */
    readonly rejectedVersions: readonly string[];
}

/** A weighted destination of a route's requests. */
export interface Destination {
    readonly service: string;
    /** Relative weight; the share is this value divided by the sum of all weights of the route. */
    readonly weight: number;
}

/** Operators' settings for one kind of request. */
export interface Route {
    readonly name: string;
    /** Value of the Host header, without port, in lower case. */
    readonly authority: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may be executed more than once. */
    readonly idempotent: boolean;
    /** Maximum number of backend servers on which one request may be executed. */
    readonly maximumRuns: number;
    /** Maximum time for which a request is kept waiting. */
    readonly timeoutMs: number;
    /** Latency objective: an answer within this time is of full use to the caller. */
    readonly objectiveMs: number;
    /** Priority level; 0 is the highest. */
    readonly priority: number;
    readonly destinations: readonly Destination[];
    /** Whether callers need no API key although the configuration has workspaces. */
    readonly open?: boolean;
    /**
     * Whether responses are expected to be large. They are streamed like any other response that is too large to
     * buffer.
     */
    readonly largeAnswers?: boolean;
}

/** Operators' settings for one service. */
export interface ServiceRules {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum number of connections that one backend server accepts, from all gateways together. */
    readonly maximumConnections: number;
    /** Requests per second that a cold backend server can take, from all gateways together. */
    readonly coldRequestsPerSecond: number;
}

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface FleetConfiguration {
    /** Increases with each change, not necessarily by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceRules[];
    readonly limits: CallerLimits;
    /** `undefined` if callers need no API keys. */
    readonly workspaces?: readonly Workspace[] | undefined;
}

/** One decoded entry of the store. */
export type StateItem =
    | { readonly type: "configuration"; readonly key: string; readonly configuration: FleetConfiguration; }
    /** The availability zone is evacuated: no new requests are sent to it. */
    | {
        readonly type: "zoneOut";
        readonly key: string;
        readonly availabilityZone: string;
        /** The revision at which it was written, within its term of the store. */
        readonly revision?: number | undefined;
    }
    | { readonly type: "server"; readonly key: string; readonly server: RegisteredServer; }
    | { readonly type: "rolloutOrder"; readonly key: string; readonly order: RolloutOrder; }
    | {
        readonly type: "rolloutStatus";
        readonly key: string;
        readonly status: RolloutStatus;
        /** The revision at which it was written. */
        readonly revision: number;
    }
    | {
        readonly type: "gateway";
        readonly key: string;
        readonly name: string;
        /** The lease that the registration is attached to; `undefined` if it has none. */
        readonly leaseId: string | undefined;
        /** `undefined` if the value could not be parsed. */
        readonly registration: GatewayRegistration | undefined;
    }
    | {
        readonly type: "crashReport";
        readonly key: string;
        readonly gateway: string;
        readonly report: CrashReport;
        /** The revision at which it was written. */
        readonly revision: number;
    }
    /** A key that is not used or could not be parsed. `reason` is set for a key that should have been readable. */
    | { readonly type: "ignored"; readonly key: string; readonly reason: string | undefined; };

/** A batch of changes reported by the store. */
export interface StateChanges {
    readonly items: readonly StateItem[];
    readonly deletedKeys: readonly string[];
}
