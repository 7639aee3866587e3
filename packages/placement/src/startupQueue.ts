import { maxStartupSearches, maxLateStartupRequests, startupBacklogMs, startupQueueMs } from "./constants.js";

/** A request that arrived within the first seconds after the start of a process. */
export interface StartupRequest {
    readonly arrivedAtMs: number;
    readonly objectiveMs: number;
    /** Remaining timeout of the caller on arrival; `undefined` if it doesn't send one. */
    readonly patienceMs: number | undefined;
    /** Name of the route, whose callers are assumed to have similar timeouts. */
    readonly route: string;
    /** Expected latency of the request. */
    readonly typicalLatencyMs: number;
}

/** Whether a request can still meet its objective. */
type Timeliness = "inTime" | "late";

interface WaitingRequest<T> {
    readonly request: StartupRequest;
    readonly item: T;
}

/** A request that may now be placed. */
export interface StartupSlot<T> {
    readonly item: T;
    /** Whether the request occupies its place until it has ended; otherwise until it is sent. */
    readonly untilEnd: boolean;
}

/**
 * Limits how many requests are placed concurrently in the first seconds after a start. After a downtime of all hosts,
 * the callers of the whole downtime arrive at once, most of them too late to meet their objective. If a process whose
 * code isn't compiled yet placed them all at once, each would wait for the probes of all others, and requests that are
 * already late would fill the servers.
 *
 * Few requests therefore search for a server at a time. Those that can still be in time go first, the newest of them
 * first. Only a few late requests are in progress at a time, each until it has ended.
 */
export class StartupQueue<T> {
    readonly #startedAtMs: number;
    #firstArrivedAtMs = Infinity;
    readonly #waiting: WaitingRequest<T>[] = [];
    readonly #maxPatienceMs = new Map<string, number>();
    readonly #inProgress: Record<Timeliness, number> = { inTime: 0, late: 0 };
    readonly #placed = new Map<T, Timeliness>();

    /** @param startedAtMs - start of this process */
    constructor(startedAtMs: number) {
        this.#startedAtMs = startedAtMs;
    }

    /** @returns whether requests have to queue; afterwards each is placed at once */
    isActive(nowMs: number): boolean {
        return nowMs - this.#startedAtMs < startupQueueMs;
    }

    /** Adds a request that waits for placement. */
    enqueue(request: StartupRequest, item: T): void {
        const { route, patienceMs = 0, arrivedAtMs } = request;
        this.#firstArrivedAtMs = Math.min(this.#firstArrivedAtMs, arrivedAtMs);
        this.#maxPatienceMs.set(route, Math.max(patienceMs, this.#maxPatienceMs.get(route) ?? 0));
        this.#waiting.push({ request, item });
    }

    /**
     * Removes the requests that may be placed now. Has to be called whenever a request was added, sent or has ended,
     * and once the queue is no longer active.
     *
     * @returns the requests that may be placed, in order
     */
    takeReady(nowMs: number): readonly StartupSlot<T>[] {
        if (!this.isActive(nowMs)) {
            return this.#waiting.splice(0).map(({ item }) => ({ item, untilEnd: false }));
        }
        const slots: StartupSlot<T>[] = [];
        for (;;) {
            const next = this.#findNext(nowMs);
            if (next === undefined) {
                return slots;
            }
            const { index, timeliness } = next;
            const [{ item }] = this.#waiting.splice(index, 1) as [WaitingRequest<T>];
            this.#inProgress[timeliness]++;
            this.#placed.set(item, timeliness);
            slots.push({ item, untilEnd: timeliness === "late" });
        }
    }

    /** Removes a request that is no longer waiting for placement. */
    remove(item: T): void {
        const index = this.#waiting.findIndex(each => each.item === item);
        if (index >= 0) {
            this.#waiting.splice(index, 1);
        }
    }

    /** Records that a request was sent, which frees its place if it was in time. */
    onSent(item: T): void {
        if (this.#placed.get(item) === "inTime") {
            this.onEnded(item);
        }
    }

    /** Records that a request has ended, which frees its place. */
    onEnded(item: T): void {
        const timeliness = this.#placed.get(item);
        if (timeliness !== undefined) {
            this.#placed.delete(item);
            this.#inProgress[timeliness]--;
        }
    }

    #findNext(nowMs: number): { readonly index: number; readonly timeliness: Timeliness; } | undefined {
        let best: { readonly index: number; readonly slackMs: number; } | undefined;
        for (const [index, { request }] of this.#waiting.entries()) {
            const slackMs = this.#slackMs(request, nowMs);
            if (best === undefined || slackMs > best.slackMs) {
                best = { index, slackMs };
            }
        }
        if (best === undefined) {
            return undefined;
        }
        const timeliness = best.slackMs >= 0 ? "inTime" : "late";
        const limit = timeliness === "inTime" ? maxStartupSearches : maxLateStartupRequests;
        return this.#inProgress[timeliness] < limit ? { index: best.index, timeliness } : undefined;
    }

    /**
     * Part of the objective that is left after the expected latency; negative for a late request. A caller that was
     * already retrying during the downtime is recognized by its remaining timeout, which is shorter than that of the
     * route's newest callers. For callers that arrive after the backlog, a shorter timeout only means that they are
     * less patient.
     */
    #slackMs({ arrivedAtMs, objectiveMs, patienceMs, route, typicalLatencyMs }: StartupRequest, nowMs: number): number {
        const maxPatienceMs = this.#maxPatienceMs.get(route) ?? 0;
        const isInBacklog = arrivedAtMs - this.#firstArrivedAtMs < startupBacklogMs;
        const waitedBeforeMs = patienceMs === undefined || !isInBacklog ? 0 : maxPatienceMs - patienceMs;
        return objectiveMs - waitedBeforeMs - (nowMs - arrivedAtMs) - typicalLatencyMs;
    }
}
