/** What the soak does to a connection from outside the processes at its two ends. */
export type LinkFault =
    /** Bytes of both directions come late. */
    | "delay"
    /** Open connections are reset, and new ones at once. */
    | "reset"
    /** Nothing passes towards the listening side. */
    | "cutThere"
    /** Nothing passes back. */
    | "cutBack"
    /** Open connections pass nothing any more, without a reset; new ones work. */
    | "silence";

/** All kinds of trouble that a run may bring. */
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

/** One trouble of a run. */
export interface Fault {
    readonly kind: FaultKind;
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Which gateway, server or zone: taken modulo their number. */
    readonly target: number;
    readonly linkFault: LinkFault;
}
