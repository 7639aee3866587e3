import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";
import { type ConfigurationOffer, type Heartbeat, type Roster } from "./messages.js";
import { type FleetSurvey, type RosterSwap } from "./rosterReconciler.js";

/** What a gateway is told. Times are monotonic, in milliseconds. */
export type FleetEvent =
    /** Time has passed; to be told often, about every 100 ms. */
    | { readonly type: "ticked"; }
    /** A watch saw something, or ended. */
    | { readonly type: "storeChanged"; }
    /** First the roster was read, then the head; both after `startedAtMs`. */
    | {
        readonly type: "storeRead";
        readonly startedAtMs: number;
        readonly head: ConfigurationRevision | undefined;
        readonly roster: Roster | undefined;
        /** `undefined` where the registrations couldn't be had. */
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
    /** The planned stop begins: no new work from now on. */
    | { readonly type: "stopping"; };

/** What a gateway is to do. */
export type FleetCommand =
    | { readonly type: "readStore"; }
    | { readonly type: "register"; }
    | { readonly type: "renew"; }
    | { readonly type: "sendHeartbeat"; readonly address: string; readonly heartbeat: Heartbeat; }
    | { readonly type: "fetch"; readonly address: string; }
    | { readonly type: "swapRoster"; readonly swap: RosterSwap; }
    /** New work follows this configuration from now on. */
    | { readonly type: "apply"; readonly configuration: ConfigurationRevision; };
