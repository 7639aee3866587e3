import { stallDeviationFactor, stallLatencyFactor, stallLatencyEwmaWeight, minStallTimeoutMs } from "./constants.js";

/** One attempt that waits for its answer's head. */
export interface PendingAttempt {
    readonly service: string;
    readonly serverId: string;
    readonly sentAtMs: number;
}

/** Moving averages of the time to an answer's head. */
interface ServiceTimes {
    readonly meanMs: number;
    /** Mean distance from the mean. */
    readonly deviationMs: number;
}

function learn(times: ServiceTimes | undefined, tookMs: number): ServiceTimes {
    if (times === undefined) {
        return { meanMs: tookMs, deviationMs: 0 };
    }
    const distanceMs = Math.abs(tookMs - times.meanMs);
    return {
        meanMs: times.meanMs + stallLatencyEwmaWeight * (tookMs - times.meanMs),
        deviationMs: times.deviationMs + stallLatencyEwmaWeight * (distanceMs - times.deviationMs),
    };
}

/**
 * Tells a connection that went silent from a backend server that is slow.
 *
 * Something between the two ends may lose track of a connection: what is sent on it arrives nowhere, no error comes
 * back, and the caller waits until its patience ends. A slow server looks the same on one connection. But a server
 * that answers what was sent later, while an earlier request goes unanswered for several times its usual time, is
 * not slow; so both are asked for. A request that is really that much longer than the others is taken for stalled as
 * well. So the time allowed grows with the spread of the service's times, the try after a stalled one is left alone, and
 * whoever asks gives an attempt up only when another try is sure to follow.
 */
export class StallDetector {
    readonly #times = new Map<string, ServiceTimes>();
    /** For each backend server, when the latest-sent attempt that it answered was sent. */
    readonly #answeredSentMs = new Map<string, number>();

    /** Notes that an answer's head came. */
    onHead(awaited: PendingAttempt, nowMs: number): void {
        const tookMs = nowMs - awaited.sentAtMs;
        this.#times.set(awaited.service, learn(this.#times.get(awaited.service), tookMs));
        const latest = this.#answeredSentMs.get(awaited.serverId) ?? awaited.sentAtMs;
        this.#answeredSentMs.set(awaited.serverId, Math.max(latest, awaited.sentAtMs));
    }

    /**
     * @param service - name of the service
     * @returns time in milliseconds after which it makes sense to ask whether an attempt stalls
     */
    getTimeoutMs(service: string): number {
        const { meanMs, deviationMs } = this.#times.get(service) ?? { meanMs: 0, deviationMs: 0 };
        return Math.max(minStallTimeoutMs, stallLatencyFactor * meanMs, meanMs + stallDeviationFactor * deviationMs);
    }

    /**
     * @param awaited - the attempt
     * @param nowMs - the present time
     * @returns whether its connection is to be given up
     */
    isStalled(awaited: PendingAttempt, nowMs: number): boolean {
        const answeredSentMs = this.#answeredSentMs.get(awaited.serverId);
        const overtaken = answeredSentMs !== undefined && answeredSentMs > awaited.sentAtMs;
        return overtaken && nowMs - awaited.sentAtMs >= this.getTimeoutMs(awaited.service);
    }
}
