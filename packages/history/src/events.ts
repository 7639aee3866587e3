/** Fields that the recorder adds to every event. */
export interface RecordMetadata {
    /** Position in the order in which the run's single recorder received the events. */
    readonly sequence: number;
    /** Time on the recorder's clock, in milliseconds. */
    readonly atMs: number;
    /** The process or gateway that the event belongs to. */
    readonly process: string;
}

/** A workspace of a configuration version. API keys are replaced by ids, so that a history contains no secrets. */
export interface WrittenWorkspace {
    readonly name: string;
    /** Ids of the workspace's keys. */
    readonly keyIds: readonly string[];
    /** Token bucket of the workspace; `undefined` for no limit. */
    readonly limit?: { readonly perSecond: number; readonly burst: number; } | undefined;
}

/** Every event that a run may record. Each checker reads only the types that its invariant concerns. */
export type HistoryEvent =
    | {
        readonly type: "callerSent";
        readonly requestId: string;
        readonly service: string;
        readonly idempotent: boolean;
        readonly idempotencyKey?: string | undefined;
        /** Equal for requests with the same content; `undefined` where the content is unique to the request. */
        readonly contentId?: string | undefined;
        /** The gateway that the request was sent to, if known. */
        readonly gateway?: string | undefined;
        /** How long the caller waits for the response, in milliseconds. */
        readonly patienceMs: number;
        /** Id of the caller's key; histories don't contain the key itself. `undefined` if the caller sent none. */
        readonly keyId?: string | undefined;
        /** Whether the request's route accepts callers without a key. */
        readonly open?: boolean | undefined;
        /** Whether it was sent while another request on its connection had no response, or behind the last one. */
        readonly behind?: boolean | undefined;
    }
    | {
        readonly type: "callerAnswered";
        readonly requestId: string;
        readonly status: number;
        readonly didRun: "no" | "yes" | "unknown" | undefined;
        /** Whether the response arrived complete. */
        readonly whole: boolean;
        /**
         * Request id that the backend server wrote into the response body; `undefined` if the gateway responded itself.
         */
        readonly bodyRequestId: string | undefined;
        /** The run that the body names; `undefined` if it names none, or bodies of the run's servers don't name them. */
        readonly run?: { readonly server: string; readonly number: number; } | undefined;
        /** What arrived, for a response that isn't whole. */
        readonly received?: string | undefined;
    }
    /** A caller received bytes that are no response. */
    | { readonly type: "callerGotNoResponse"; readonly detail: string; }
    | {
        readonly type: "callerCutOff";
        readonly requestId: string;
        /** Whether the connection was reset, as it is when the gateway closes it with unread input. */
        readonly reset?: boolean | undefined;
    }
    | { readonly type: "callerGaveUp"; readonly requestId: string; }
    /** The caller has closed its connection while the request was outstanding on it. */
    | { readonly type: "callerLeft"; readonly requestId: string; }
    | {
        readonly type: "serverStarted";
        readonly requestId: string;
        readonly idempotencyKey?: string | undefined;
        readonly server: string;
        readonly availabilityZone: string;
        readonly incarnation: string;
        readonly cold: boolean;
        /** Requests in flight at the server, this one included. */
        readonly inFlight: number;
        /** Concurrent requests that the server can handle in its present state. */
        readonly bears: number;
        /** Workspace name in the request that the server received. */
        readonly workspace?: string | undefined;
        /** Whether the request that the server received still contained the caller's key. */
        readonly keyPassedOn?: boolean | undefined;
    }
    | {
        readonly type: "serverEnded";
        readonly requestId: string;
        readonly server: string;
        readonly incarnation: string;
        /** Whether the server finished the work and responded, if known. */
        readonly completed?: boolean | undefined;
    }
    /** A server's process crashed while it executed the request. */
    | { readonly type: "serverCrashed"; readonly requestId: string; readonly server: string; }
    /** A server rejected a request without executing it. */
    | {
        readonly type: "serverTurnedAway";
        readonly requestId: string;
        readonly server: string;
        readonly availabilityZone: string;
        readonly cold: boolean;
        /** Back-off that the server asks of the sending gateway, in milliseconds; `undefined` if it asks for none. */
        readonly restMs?: number | undefined;
        readonly keyPassedOn?: boolean | undefined;
    }
    /** A server truncated, dropped or otherwise corrupted its response. */
    | { readonly type: "serverSpoilt"; readonly requestId: string; readonly server: string; }
    /** A server broke the response to one of its runs off, or let the run fail, whatever else it sent for it. */
    | {
        readonly type: "serverBrokeOff";
        readonly requestId: string;
        readonly server: string;
        /** Number of the run at its server. */
        readonly run: number;
    }
    /** A server's process ended, whatever the reason. */
    | { readonly type: "serverExited"; readonly server: string; }
    /** A gateway sent a load probe to a server. */
    | { readonly type: "serverProbed"; readonly server: string; readonly gateway: string; }
    /** From now on a server advertises this rate limit in its responses; `undefined` ends the limit. */
    | { readonly type: "serverLimited"; readonly server: string; readonly perSecond: number | undefined; }
    /** A gateway forwarded a response in which the server advertises a limit, and the caller received it. */
    | { readonly type: "limitPassedOn"; readonly gateway: string; readonly server: string; }
    /** A server started to shut down. */
    | { readonly type: "serverLeaving"; readonly server: string; }
    /** A gateway forwarded a response in which the server announces its shutdown, and the caller received it. */
    | { readonly type: "leavingPassedOn"; readonly gateway: string; readonly server: string; }
    | { readonly type: "serverTurnedCold"; readonly server: string; }
    | { readonly type: "serverTurnedWarm"; readonly server: string; }
    /** A gateway received a response in which the server reports that it is cold. */
    | { readonly type: "coldSignHeard"; readonly gateway: string; readonly server: string; }
    /** A gateway learned, from any source, that the server is shutting down. */
    | { readonly type: "leavingHeard"; readonly gateway: string; readonly server: string; }
    /** A majority of the gateways acknowledged a heartbeat round of this gateway that was sent at `startedAtMs`. */
    | { readonly type: "majorityRound"; readonly gateway: string; readonly startedAtMs: number; }
    | {
        readonly type: "configurationWritten";
        readonly revision: number;
        readonly changeId: string;
        /** `undefined` if callers need no keys. */
        readonly workspaces?: readonly WrittenWorkspace[] | undefined;
    }
    | { readonly type: "configurationAccepted"; readonly revision: number; readonly changeId: string; }
    /** The store committed that a server is leaving or has been removed. */
    | { readonly type: "drainAccepted"; readonly server: string; }
    | { readonly type: "zoneOutAccepted"; readonly availabilityZone: string; }
    | { readonly type: "zoneInRequested"; readonly availabilityZone: string; }
    /** The store committed the order that starts a rollout. */
    | {
        readonly type: "rolloutOrdered";
        readonly service: string;
        readonly version: string;
        /** Servers of the new version. */
        readonly servers: readonly string[];
        /** Whether the test injects faults into the new version. */
        readonly isBad: boolean;
    }
    /** The status of a rollout was read and is final. */
    | {
        readonly type: "rolloutEnded";
        readonly service: string;
        readonly version: string;
        readonly stage: "completed" | "rolledBack";
    }
    | { readonly type: "configurationApplied"; readonly gateway: string; readonly revision: number; }
    | {
        readonly type: "workSent";
        readonly gateway: string;
        readonly revision: number;
        readonly requestId: string;
        readonly server: string;
        readonly availabilityZone: string;
    }
    | { readonly type: "workRefused"; readonly gateway: string; readonly requestId: string; readonly kind: string; }
    /** From now on a gateway can't reach any backend server. */
    | { readonly type: "gatewayCutFromServers"; readonly gateway: string; }
    /** From now on a gateway can reach the backend servers again. */
    | { readonly type: "gatewayLinksRestored"; readonly gateway: string; }
    /** A gateway got the signal for a planned stop. */
    | { readonly type: "gatewayStopping"; readonly gateway: string; }
    | { readonly type: "gatewayStopped"; readonly gateway: string; readonly exitCode: number; };

/** One line of a history: an event with the recorder's fields. */
export type HistoryLine = RecordMetadata & HistoryEvent;

/** A breach of an invariant that a checker found. */
export interface Violation {
    readonly invariant: string;
    readonly detail: string;
    /** Sequence numbers of the history lines that prove the breach. */
    readonly lines: readonly number[];
}
