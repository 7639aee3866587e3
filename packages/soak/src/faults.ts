/** Network faults that are injected into connections by a proxy between the two processes. */
export type LinkFault =
    /** Data is delayed in both directions. */
    | "delay"
    /** Open connections are reset; new ones are reset immediately. */
    | "reset"
    /** No data passes towards the listening side. */
    | "cutThere"
    /** No data passes back from the listening side. */
    | "cutBack"
    /** Open connections pass no more data, without a reset; new ones work. */
    | "silence";

/** All kinds of fault that a run may inject. */
export type FaultKind =
    | "edgeTerm"
    | "edgeKill"
    | "edgePause"
    | "edgeHup"
    | "allEdgesKill"
    | "storeLink"
    | "storeRefuse"
    | "storeHang"
    | "storeSlow"
    | "storeLoseAnswers"
    | "storeCompact"
    | "storePause"
    | "serverLink"
    | "serverKill"
    | "serverPause"
    | "serverSlow"
    | "serverFail"
    | "serverShed"
    | "serverDrain"
    | "serverCold"
    | "serverSpoil"
    | "configure"
    | "zoneOut"
    | "burst"
    | "hangUp";

/** A fault that is injected into a run. */
export interface Fault {
    readonly kind: FaultKind;
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the gateway, server or zone, modulo their number. */
    readonly target: number;
    readonly linkFault: LinkFault;
}
