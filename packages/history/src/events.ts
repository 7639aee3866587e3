/** What the recorder adds to every event. */
export interface RecordMetadata {
    /** Order in which the one recorder of a run took the events. */
    readonly sequence: number;
    /** Milliseconds on the recorder's clock. */
    readonly atMs: number;
    /** Which process or gateway it is about. */
    readonly process: string;
}

/** A workspace of a configuration, without its keys. */
export interface WrittenWorkspace {
    readonly name: string;
    /** Stand for the keys that it holds. */
    readonly keyIds: readonly string[];
    /** `undefined` for no limit. */
    readonly limit?: { readonly perSecond: number; readonly burst: number; } | undefined;
}

/** Everything that a run may record; a checker reads the kinds that its invariant is about. */
export type HistoryEvent =
    | {
        readonly type: "callerSent";
        readonly requestId: string;
        readonly service: string;
        readonly idempotent: boolean;
        readonly idempotencyKey?: string | undefined;
        /** The same for requests that ask the same of a server; `undefined` where no other request does. */
        readonly contentId?: string | undefined;
        /** The gateway that it was sent to, where that is known. */
        readonly gateway?: string | undefined;
        readonly patienceMs: number;
        /** Stands for the caller's key, which no history contains; `undefined` where it sent none. */
        readonly keyId?: string | undefined;
        /** Whether its route takes callers without a key. */
        readonly open?: boolean | undefined;
    }
    | {
        readonly type: "callerAnswered";
        readonly requestId: string;
        readonly status: number;
        readonly didRun: "no" | "yes" | "unknown" | undefined;
        readonly whole: boolean;
        readonly bodyRequestId: string | undefined;
    }
    | { readonly type: "callerCutOff"; readonly requestId: string; }
    | { readonly type: "callerGaveUp"; readonly requestId: string; }
    | {
        readonly type: "serverStarted";
        readonly requestId: string;
        readonly idempotencyKey?: string | undefined;
        readonly server: string;
        readonly availabilityZone: string;
        readonly incarnation: string;
        readonly cold: boolean;
        readonly inFlight: number;
        readonly bears: number;
        /** Name of the caller's workspace as the server was told it. */
        readonly workspace?: string | undefined;
        /** Whether the caller's key reached the server. */
        readonly keyPassedOn?: boolean | undefined;
    }
    | {
        readonly type: "serverEnded";
        readonly requestId: string;
        readonly server: string;
        readonly incarnation: string;
    }
    /** A server ended under a request that it had begun to run. */
    | { readonly type: "serverCrashed"; readonly requestId: string; readonly server: string; }
    /** A server rejected a request that reached it. */
    | {
        readonly type: "serverTurnedAway";
        readonly requestId: string;
        readonly server: string;
        readonly availabilityZone: string;
        readonly cold: boolean;
        /** How long it wants nothing from the gateway that sent it; `undefined` where it doesn't say. */
        readonly restMs?: number | undefined;
        readonly keyPassedOn?: boolean | undefined;
    }
    /** A server cut, lost or otherwise spoilt its answer. */
    | { readonly type: "serverSpoilt"; readonly requestId: string; readonly server: string; }
    /** A server's process ended, for whatever reason. */
    | { readonly type: "serverExited"; readonly server: string; }
    | { readonly type: "serverProbed"; readonly server: string; readonly gateway: string; }
    /** From now on a server names a limit of requests a second in its answers; `undefined` for none any more. */
    | { readonly type: "serverLimited"; readonly server: string; readonly perSecond: number | undefined; }
    /** A caller got an answer through a gateway in which a server names a limit. */
    | { readonly type: "limitPassedOn"; readonly gateway: string; readonly server: string; }
    | { readonly type: "serverLeaving"; readonly server: string; }
    /** A caller got an answer through a gateway in which a server says that it leaves. */
    | { readonly type: "leavingPassedOn"; readonly gateway: string; readonly server: string; }
    | { readonly type: "serverTurnedCold"; readonly server: string; }
    | { readonly type: "serverTurnedWarm"; readonly server: string; }
    /** A gateway got an answer in which the server says that it is cold. */
    | { readonly type: "coldSignHeard"; readonly gateway: string; readonly server: string; }
    /** A gateway got a word, of whatever source, that the server is leaving. */
    | { readonly type: "leavingHeard"; readonly gateway: string; readonly server: string; }
    /** A gateway has had answers to heartbeats from a majority. */
    | { readonly type: "majorityRound"; readonly gateway: string; readonly startedAtMs: number; }
    | {
        readonly type: "configurationWritten";
        readonly revision: number;
        readonly changeId: string;
        /** `undefined` where callers need no keys. */
        readonly workspaces?: readonly WrittenWorkspace[] | undefined;
    }
    | { readonly type: "configurationAccepted"; readonly revision: number; readonly changeId: string; }
    /** The store took the word that a server is leaving, or gone. */
    | { readonly type: "drainAccepted"; readonly server: string; }
    | { readonly type: "zoneOutAccepted"; readonly availabilityZone: string; }
    | { readonly type: "zoneInRequested"; readonly availabilityZone: string; }
    /** The store took the order of a roll-out. */
    | {
        readonly type: "rolloutOrdered";
        readonly service: string;
        readonly version: string;
        /** Servers of the new version. */
        readonly servers: readonly string[];
        readonly isBad: boolean;
    }
    /** The status of a roll-out was read, and is final. */
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
    /** From now on a gateway reaches no backend server. */
    | { readonly type: "gatewayCutFromServers"; readonly gateway: string; }
    /** From now on a gateway reaches them again. */
    | { readonly type: "gatewayLinksRestored"; readonly gateway: string; }
    | { readonly type: "gatewayStopping"; readonly gateway: string; }
    | { readonly type: "gatewayStopped"; readonly gateway: string; readonly exitCode: number; };

/** One line of a history. */
export type HistoryLine = RecordMetadata & HistoryEvent;

/** What a checker found against its invariant. */
export interface Violation {
    readonly invariant: string;
    readonly detail: string;
    /** Sequence numbers of the lines that show it. */
    readonly lines: readonly number[];
}
