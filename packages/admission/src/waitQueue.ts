import { maxQueueLength } from "./constants.js";

/** A request waiting for a slot. */
export interface QueuedRequest {
    readonly id: number;
    /** End of the caller's patience, in milliseconds on the monotonic clock. */
    readonly deadlineMs: number;
}

/** Whether a request without a free slot is queued or refused. */
export type QueueDecision =
    | { readonly type: "waits"; }
    /** Refused immediately: the queue is full or the request would not be served within its caller's patience. */
    | { readonly type: "refuse"; readonly retryAfterMs: number; };

/**
 * FIFO queue of one service's requests that wait at this gateway for a slot.
 *
 * An unbounded queue makes all callers wait until just after their patience has ended, and the work is wasted. A
 * request that would be served too late is therefore refused immediately, while its caller can still react.
 */
export class WaitQueue {
    readonly #queue: QueuedRequest[] = [];
    /** Moving average of the time between two freed slots in milliseconds; `undefined` before the second one. */
    #msPerFreedSlot: number | undefined;
    #lastFreedAtMs: number | undefined;

    get length(): number {
        return this.#queue.length;
    }

    /**
     * Queues a request unless it is expected to miss its deadline.
     *
     * @param request - a request for which no slot is free
     * @param nowMs - current time
     * @param serviceTimeMs - expected time to serve the request once it has a slot
     */
    enqueue(request: QueuedRequest, nowMs: number, serviceTimeMs: number): QueueDecision {
        const expectedWaitMs = (this.#queue.length + 1) * (this.#msPerFreedSlot ?? 0);
        const late = nowMs + expectedWaitMs + serviceTimeMs > request.deadlineMs;
        if (late || this.#queue.length >= maxQueueLength) {
            return { type: "refuse", retryAfterMs: Math.max(expectedWaitMs, serviceTimeMs) };
        }
        this.#queue.push(request);
        return { type: "waits" };
    }

    /** Records that a slot was freed, which updates the expected wait. */
    onSlotFreed(nowMs: number): void {
        if (this.#lastFreedAtMs !== undefined && this.#queue.length > 0) {
            const intervalMs = nowMs - this.#lastFreedAtMs;
            this.#msPerFreedSlot = this.#msPerFreedSlot === undefined
                ? intervalMs
                : this.#msPerFreedSlot + 0.1 * (intervalMs - this.#msPerFreedSlot);
        }
        this.#lastFreedAtMs = nowMs;
    }

    /** Removes and returns the first request whose deadline has not passed; earlier ones are dropped. */
    dequeue(nowMs: number): QueuedRequest | undefined {
        for (let first = this.#queue.shift(); first !== undefined; first = this.#queue.shift()) {
            if (first.deadlineMs > nowMs) {
                return first;
            }
        }
        return undefined;
    }

    /** Puts a dequeued request back to the head of the queue, because no server could take it. */
    putBack(request: QueuedRequest): void {
        this.#queue.unshift(request);
    }

    /** Removes a request from the queue. */
    remove(id: number): void {
        const at = this.#queue.findIndex(waiting => waiting.id === id);
        if (at >= 0) {
            this.#queue.splice(at, 1);
        }
    }
}
