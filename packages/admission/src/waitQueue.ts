import { maxQueueLength } from "./constants.js";

/** One request that waits for a slot. */
export interface QueuedRequest {
    readonly id: number;
    /** When its caller's patience ends, on the monotonic clock. */
    readonly deadlineMs: number;
}

/** What becomes of a request that finds no slot. */
export type QueueDecision =
    | { readonly type: "waits"; }
    /** Refuse now: it would not be served within its patience. */
    | { readonly type: "refuse"; readonly retryAfterMs: number; };

/**
 * The requests of one service that wait at this gateway for a slot, first come first served.
 *
 * A queue that takes everything makes every caller late: each is served just after its patience ended, and the work
 * is thrown away. So a request whose turn would come too late is refused at once, while its caller can still act.
 */
export class WaitQueue {
    readonly #waiting: QueuedRequest[] = [];
    /** Moving average of the time between two freed slots; `undefined` until two have been seen. */
    #msPerTurn: number | undefined;
    #lastTurnMs: number | undefined;

    get length(): number {
        return this.#waiting.length;
    }

    /**
     * @param request - the request that found no slot
     * @param nowMs - the present time
     * @param serviceTimeMs - how long such a request runs, for the time that it needs after its turn
     */
    enqueue(request: QueuedRequest, nowMs: number, serviceTimeMs: number): QueueDecision {
        const expectedWaitMs = (this.#waiting.length + 1) * (this.#msPerTurn ?? 0);
        const late = nowMs + expectedWaitMs + serviceTimeMs > request.deadlineMs;
        if (late || this.#waiting.length >= maxQueueLength) {
            return { type: "refuse", retryAfterMs: Math.max(expectedWaitMs, serviceTimeMs) };
        }
        this.#waiting.push(request);
        return { type: "waits" };
    }

    /** Notes that a slot came free, which paces the expected wait. */
    onSlotFreed(nowMs: number): void {
        if (this.#lastTurnMs !== undefined && this.#waiting.length > 0) {
            const turnMs = nowMs - this.#lastTurnMs;
            this.#msPerTurn = this.#msPerTurn === undefined
                ? turnMs
                : this.#msPerTurn + 0.1 * (turnMs - this.#msPerTurn);
        }
        this.#lastTurnMs = nowMs;
    }

    /** @returns the next request that still has time, without those whose patience has ended */
    dequeue(nowMs: number): QueuedRequest | undefined {
        for (let first = this.#waiting.shift(); first !== undefined; first = this.#waiting.shift()) {
            if (first.deadlineMs > nowMs) {
                return first;
            }
        }
        return undefined;
    }

    /** Takes a request back to the head, where its turn found no server after all. */
    putBack(request: QueuedRequest): void {
        this.#waiting.unshift(request);
    }

    /** Drops a request that no longer waits. */
    remove(id: number): void {
        const at = this.#waiting.findIndex(waiting => waiting.id === id);
        if (at >= 0) {
            this.#waiting.splice(at, 1);
        }
    }
}
