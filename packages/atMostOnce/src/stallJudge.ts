import { stallFactor, stallLatencyWeight, stallMinimumMs } from "./constants.js";

/** One attempt that waits for its answer's head. */
export interface AwaitedHead {
    readonly service: string;
    readonly serverId: string;
    readonly sentAtMs: number;
}

/**
 * Tells a connection that went silent from a backend server that is slow.
 *
 * Something between the two ends may lose track of a connection: what is sent on it arrives nowhere, no error comes
 * back, and the caller waits until its patience ends. A slow server looks the same on one connection. But a server
 * that answers what was sent later, while an earlier request goes unanswered for several times its usual time, is
 * not slow; so both are asked for. A request that is really that much longer than the others is taken for stalled as
 * well, which is why the try after a stalled one is left alone.
 */
export class StallJudge {
    readonly #latencyMs = new Map<string, number>();
    /** For each backend server, when the latest-sent attempt that it answered was sent. */
    readonly #answeredSentMs = new Map<string, number>();

    /** Notes that an answer's head came. */
    onHead(awaited: AwaitedHead, nowMs: number): void {
        const tookMs = nowMs - awaited.sentAtMs;
        const average = this.#latencyMs.get(awaited.service);
        this.#latencyMs.set(
            awaited.service,
            average === undefined ? tookMs : average + stallLatencyWeight * (tookMs - average),
        );
        const latest = this.#answeredSentMs.get(awaited.serverId) ?? awaited.sentAtMs;
        this.#answeredSentMs.set(awaited.serverId, Math.max(latest, awaited.sentAtMs));
    }

    /**
     * @param service - name of the service
     * @returns time in milliseconds after which it makes sense to ask whether an attempt stalls
     */
    limitMs(service: string): number {
        return Math.max(stallMinimumMs, stallFactor * (this.#latencyMs.get(service) ?? 0));
    }

    /**
     * @param awaited - the attempt
     * @param nowMs - the present time
     * @returns whether its connection is to be given up
     */
    isStalled(awaited: AwaitedHead, nowMs: number): boolean {
        const answeredSentMs = this.#answeredSentMs.get(awaited.serverId);
        const overtaken = answeredSentMs !== undefined && answeredSentMs > awaited.sentAtMs;
        return overtaken && nowMs - awaited.sentAtMs >= this.limitMs(awaited.service);
    }
}
