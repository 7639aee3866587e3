import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";
import { type ConfigurationOffer, type Heartbeat, type Roster } from "./messages.js";
import { type FleetSurvey, type RosterSwap } from "./rosterReconciler.js";

/** Input event of a gateway's state machine. Times are in milliseconds on the monotonic clock. */
export type FleetEvent =
    /** Timer tick, about every 100 ms. */
    | { readonly type: "ticked"; }
    /** A watch reported a change, or a write of the roster has ended. */
    | { readonly type: "storeChanged"; }
    /** The roster, then the head were read, both after `startedAtMs`. */
    | {
        readonly type: "storeRead";
        readonly startedAtMs: number;
        readonly head: ConfigurationRevision | undefined;
        readonly roster: Roster | undefined;
        /** `undefined` if the registrations couldn't be read. */
        readonly survey: FleetSurvey | undefined;
    }
    | { readonly type: "storeReadFailed"; }
    | { readonly type: "hostsListed"; readonly names: readonly string[]; }
    | { readonly type: "registered"; readonly startedAtMs: number; readonly ttlMs: number; }
    | { readonly type: "registrationFailed"; }
    | { readonly type: "renewed"; readonly startedAtMs: number; readonly ttlMs: number; }
    | { readonly type: "renewalFailed"; readonly lapsed: boolean; }
    | {
        readonly type: "heartbeatAnswered";
        readonly address: string;
        readonly startedAtMs: number;
        readonly heartbeat: Heartbeat;
    }
    | { readonly type: "heartbeatFailed"; readonly address: string; }
    | { readonly type: "fetched"; readonly address: string; readonly offer: ConfigurationOffer; }
    | { readonly type: "fetchFailed"; readonly address: string; }
    | { readonly type: "signalsPublished"; readonly signals: readonly ServerSignal[]; }
    | { readonly type: "loadsPublished"; readonly loads: readonly ServerLoad[]; }
    /** The planned stop begins: no new work is accepted from now on. */
    | { readonly type: "stopping"; };

/** Command from a gateway's state machine to the process that runs it. */
export type FleetCommand =
    | { readonly type: "readStore"; }
    | { readonly type: "register"; }
    | { readonly type: "renew"; }
    | { readonly type: "sendHeartbeat"; readonly address: string; readonly heartbeat: Heartbeat; }
    | { readonly type: "fetch"; readonly address: string; }
    | { readonly type: "swapRoster"; readonly swap: RosterSwap; }
    /** New work is sent under this configuration from now on. */
    | { readonly type: "apply"; readonly configuration: ConfigurationRevision; };
