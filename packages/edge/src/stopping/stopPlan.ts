import {
    balancerDetectionMs,
    maxStopAdmissionMs,
    maxStopMarginMs,
    stopAcceptShare,
    stopAdmitShare,
    stopEndShare,
    stopMarginShare,
} from "../constants.js";

/**
 * Schedule of a planned stop, by the monotonic clock. Whatever is passed on to a server early enough to be finished is
 * waited for; everything else is refused without having run, so that its caller can turn to another gateway at once.
 */
export class StopPlan {
    /** When the signal arrived. */
    readonly startedAtMs: number;
    /** Until then new connections are accepted, since the balancer may still send callers. */
    readonly listenUntilMs: number;
    /** Requests that arrive later are refused, whatever connection they come on. */
    readonly admitUntilMs: number;
    /** When requests at which a server is still at work get a response of the gateway's own. */
    readonly answerByMs: number;
    /** When the process ends, whatever is left. */
    readonly endByMs: number;

    /**
     * @param startedAtMs - when the signal arrived, by the monotonic clock
     * @param graceMs - time from the signal until the process is killed, in milliseconds
     */
    constructor(startedAtMs: number, graceMs: number) {
        const marginMs = Math.min(maxStopMarginMs, graceMs * stopMarginShare);
        this.startedAtMs = startedAtMs;
        this.listenUntilMs = startedAtMs + Math.min(balancerDetectionMs, graceMs * stopAcceptShare);
        this.admitUntilMs = startedAtMs + Math.min(maxStopAdmissionMs, graceMs * stopAdmitShare);
        this.answerByMs = startedAtMs + graceMs - marginMs;
        this.endByMs = startedAtMs + graceMs - marginMs * stopEndShare;
    }

    /** @returns whether a request that was read completely at this time is served; otherwise it is refused */
    isAdmitted(nowMs: number): boolean {
        return nowMs <= this.admitUntilMs;
    }

    /**
     * Requests are always sent while they are admitted: even if the server needs longer than what is left, it starts
     * with most of the grace period ahead, and other requests of the service may take less time.
     *
     * @param nowMs - current time
     * @param expectedMs - how long the server is expected to take at most, in milliseconds
     * @returns whether a request may be sent to a server, which then finishes it in what is left
     */
    maySend(nowMs: number, expectedMs: number): boolean {
        return this.isAdmitted(nowMs) || nowMs + expectedMs <= this.answerByMs;
    }
}
