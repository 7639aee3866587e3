import { maxStartupSearches, maxLateStartupRequests, startupBacklogMs, startupQueueMs } from "./constants.js";

/** A request that came within the first seconds of a process. */
export interface StartupRequest {
    readonly arrivedAtMs: number;
    readonly objectiveMs: number;
    /** How long its caller still waited when it came; `undefined` where it doesn't say. */
    readonly patienceMs: number | undefined;
    /** What is alike in patience: its route. */
    readonly route: string;
    /** Expected time of its work. */
    readonly typicalLatencyMs: number;
}

/** Whether a request's answer can still be of full use. */
type Usefulness = "inTime" | "late";

interface Waiting<T> {
    readonly request: StartupRequest;
    readonly item: T;
}

/** A request whose turn has come. */
export interface StartupSlot<T> {
    readonly item: T;
    /** Whether the turn lasts until the request has ended; otherwise until it is sent. */
    readonly untilEnd: boolean;
}

/**
 * Lets requests of a process's first seconds look for servers by turns. After a stop of all hosts the callers of the whole stop
 * come at once, most of them too late for an answer of full use. Placed all together by a process whose code runs for the first
 * time, each waits for the probes of all others, and those that are late already fill the servers for those that are not.
 * So few look at a time: first those that can still be in time, the newest of them first, and of the others a few until they end.
 */
export class StartupQueue<T> {
    readonly #startedAtMs: number;
    #firstArrivedAtMs = Infinity;
    readonly #waiting: Waiting<T>[] = [];
    readonly #longestPatienceMs = new Map<string, number>();
    readonly #inTurn: Record<Usefulness, number> = { inTime: 0, late: 0 };
    readonly #turns = new Map<T, Usefulness>();

    /** @param startedAtMs - when this process began */
    constructor(startedAtMs: number) {
        this.#startedAtMs = startedAtMs;
    }

    /** @returns whether requests take turns; afterwards each goes on at once */
    isActive(nowMs: number): boolean {
        return nowMs - this.#startedAtMs < startupQueueMs;
    }

    /** A request has come that may be placed once its turn has come. */
    enqueue(request: StartupRequest, item: T): void {
        const { route, patienceMs = 0, arrivedAtMs } = request;
        this.#firstArrivedAtMs = Math.min(this.#firstArrivedAtMs, arrivedAtMs);
        this.#longestPatienceMs.set(route, Math.max(patienceMs, this.#longestPatienceMs.get(route) ?? 0));
        this.#waiting.push({ request, item });
    }

    /** @returns whose turn it is now; nobody's is missed where this is called after each addition, end and at the end of all turns */
    takeReady(nowMs: number): readonly StartupSlot<T>[] {
        if (!this.isActive(nowMs)) {
            return this.#waiting.splice(0).map(({ item }) => ({ item, untilEnd: false }));
        }
        const turns: StartupSlot<T>[] = [];
        for (;;) {
            const next = this.#findNext(nowMs);
            if (next === undefined) {
                return turns;
            }
            const { at, usefulness } = next;
            const [{ item }] = this.#waiting.splice(at, 1) as [Waiting<T>];
            this.#inTurn[usefulness]++;
            this.#turns.set(item, usefulness);
            turns.push({ item, untilEnd: usefulness === "late" });
        }
    }

    /** A request waits no longer for its turn. */
    remove(item: T): void {
        const at = this.#waiting.findIndex(each => each.item === item);
        if (at >= 0) {
            this.#waiting.splice(at, 1);
        }
    }

    /** A request was sent: whoever is in time ends its turn with that. */
    onSent(item: T): void {
        if (this.#turns.get(item) === "inTime") {
            this.onEnded(item);
        }
    }

    /** A request has ended. */
    onEnded(item: T): void {
        const usefulness = this.#turns.get(item);
        if (usefulness !== undefined) {
            this.#turns.delete(item);
            this.#inTurn[usefulness]--;
        }
    }

    #findNext(nowMs: number): { readonly at: number; readonly usefulness: Usefulness; } | undefined {
        let best: { readonly at: number; readonly leftMs: number; } | undefined;
        for (const [at, { request }] of this.#waiting.entries()) {
            const leftMs = this.#leftMs(request, nowMs);
            if (best === undefined || leftMs > best.leftMs) {
                best = { at, leftMs };
            }
        }
        if (best === undefined) {
            return undefined;
        }
        const usefulness = best.leftMs >= 0 ? "inTime" : "late";
        const most = usefulness === "inTime" ? maxStartupSearches : maxLateStartupRequests;
        return this.#inTurn[usefulness] < most ? { at: best.at, usefulness } : undefined;
    }

    /**
     * How much of the objective is left beyond the work. A caller that waited for this process before it came says so by its
     * patience: less of it is left than of the newest callers of its kind. Whoever came later waited for nobody, and is merely
     * less patient.
     */
    #leftMs({ arrivedAtMs, objectiveMs, patienceMs, route, typicalLatencyMs }: StartupRequest, nowMs: number): number {
        const longestMs = this.#longestPatienceMs.get(route) ?? 0;
        const isOfCrowd = arrivedAtMs - this.#firstArrivedAtMs < startupBacklogMs;
        const waitedBeforeMs = patienceMs === undefined || !isOfCrowd ? 0 : longestMs - patienceMs;
        return objectiveMs - waitedBeforeMs - (nowMs - arrivedAtMs) - typicalLatencyMs;
    }
}
