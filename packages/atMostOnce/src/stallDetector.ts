import { stallDeviationFactor, stallLatencyFactor, stallLatencyEwmaWeight, minStallTimeoutMs } from "./constants.js";

/** An attempt that waits for its response head. */
export interface PendingAttempt {
    readonly service: string;
    readonly serverId: string;
    readonly sentAtMs: number;
}

/** Exponentially weighted moving averages of the time to the response head. */
interface ServiceTimes {
    readonly meanMs: number;
    /** Mean absolute deviation from the mean. */
    readonly deviationMs: number;
}

function updateTimes(times: ServiceTimes | undefined, tookMs: number): ServiceTimes {
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
 * Distinguishes a dead connection from a slow backend server.
 *
 * A device between the two ends may lose the state of a connection. Requests on it are then dropped without an error,
 * and the caller waits until its patience ends. A slow server looks the same on one connection. An attempt is therefore
 * considered stalled only if it takes several times as long as usual and the server has responded to a later attempt.
 *
 * A request that really takes that much longer than others is considered stalled as well. To limit this, the timeout
 * grows with the deviation of the service's times, the retry of a stalled attempt is not checked, and the gateway
 * abandons an attempt only if a retry is certain to follow.
 */
export class StallDetector {
    readonly #times = new Map<string, ServiceTimes>();
    /** Sending time of the latest attempt that each backend server has responded to. */
    readonly #lastAnsweredSentAtMs = new Map<string, number>();

    /** Records a response head. */
    onHead(attempt: PendingAttempt, nowMs: number): void {
        const tookMs = nowMs - attempt.sentAtMs;
        this.#times.set(attempt.service, updateTimes(this.#times.get(attempt.service), tookMs));
        const latest = this.#lastAnsweredSentAtMs.get(attempt.serverId) ?? attempt.sentAtMs;
        this.#lastAnsweredSentAtMs.set(attempt.serverId, Math.max(latest, attempt.sentAtMs));
    }

    /**
     * @param service - name of the service
     * @returns time in milliseconds after which an attempt may be considered stalled
     */
    getTimeoutMs(service: string): number {
        const { meanMs, deviationMs } = this.#times.get(service) ?? { meanMs: 0, deviationMs: 0 };
        return Math.max(minStallTimeoutMs, stallLatencyFactor * meanMs, meanMs + stallDeviationFactor * deviationMs);
    }

    /**
     * @param attempt - the attempt
     * @param nowMs - current monotonic time
     * @returns whether the connection of the attempt should be abandoned
     */
    isStalled(attempt: PendingAttempt, nowMs: number): boolean {
        const lastAnsweredSentAtMs = this.#lastAnsweredSentAtMs.get(attempt.serverId);
        const isOvertaken = lastAnsweredSentAtMs !== undefined && lastAnsweredSentAtMs > attempt.sentAtMs;
        return isOvertaken && nowMs - attempt.sentAtMs >= this.getTimeoutMs(attempt.service);
    }
}
