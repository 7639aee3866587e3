import { type Failure } from "@galenaglade/errors";
import { type BeliefChange, type FleetView } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type RandomSource } from "@galenaglade/routing";
import { expiryTickMs, firstStorePauseMs, longestStorePauseMs, watchPauseMs, watchWaitMs } from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";

/** What the synchronisation works with. */
export interface StateSyncParts {
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    /** Called after each change of what is believed. */
    readonly onChange: () => void;
}

/** Keeps the view of the fleet in step with the store: one whole reading, then one watch after the other. */
export class StateSync {
    readonly #parts: StateSyncParts;
    readonly #stop = new AbortController();
    #afterRevision: number | undefined;
    #failures = 0;
    #timer: NodeJS.Timeout | undefined;

    constructor(parts: StateSyncParts) {
        this.#parts = parts;
    }

    start(): void {
        this.#timer = setInterval(() => {
            const { view, clock } = this.#parts;
            this.#report(view.expire(clock.monotonicMs()));
        }, expiryTickMs);
        void this.#run();
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#stop.abort();
    }

    async #run(): Promise<void> {
        while (!this.#stop.signal.aborted) {
            const pauseMs = this.#afterRevision === undefined
                ? await this.#readAll()
                : await this.#watch(this.#afterRevision);
            if (pauseMs > 0) {
                await sleep(pauseMs);
            }
        }
    }

    /** @returns how long to pause until the next call, in milliseconds */
    async #readAll(): Promise<number> {
        const { store, codec, view, clock } = this.#parts;
        const startedAtMs = clock.monotonicMs();
        const read = await store.list(codec.prefix);
        return read.caseOf({
            Left: failure => this.#onFailure("list", failure, startedAtMs),
            Right: ({ revision, entries }) => {
                this.#onContact("list");
                this.#afterRevision = revision;
                const items = entries.map(entry => codec.decode(entry));
                this.#report(view.onReading(items, clock.monotonicMs()));
                return 0;
            },
        });
    }

    async #watch(afterRevision: number): Promise<number> {
        const { store, codec, view, clock } = this.#parts;
        const startedAtMs = clock.monotonicMs();
        const seen = await store.watch({
            prefix: codec.prefix,
            afterRevision,
            waitMs: watchWaitMs,
            signal: this.#stop.signal,
        });
        return seen.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                return this.#onFailure("watch", failure, startedAtMs);
            },
            Right: ({ revision, changed, deleted }) => {
                if (this.#stop.signal.aborted) {
                    return 0;
                }
                this.#onContact("watch");
                this.#afterRevision = Math.max(afterRevision, revision);
                const items = changed.map(entry => codec.decode(entry));
                this.#report(view.onChanges({ items, deletedKeys: deleted }, clock.monotonicMs()));
                // A store that answers a watch at once without news must not be asked in a tight loop.
                const cameEarly = clock.monotonicMs() - startedAtMs < watchPauseMs;
                return cameEarly || changed.length + deleted.length > 0 ? watchPauseMs : 0;
            },
        });
    }

    #onContact(call: string): void {
        const { view, clock, log, metrics } = this.#parts;
        metrics.onStoreCall(call, "answered");
        const awayMs = view.onContact(clock.monotonicMs());
        if (this.#failures > 0) {
            log.log("info", "storeRegained", { failedCalls: this.#failures, awayMs });
        }
        this.#failures = 0;
    }

    #onFailure(call: string, failure: Failure, startedAtMs: number): number {
        const { view, clock, log, metrics, random } = this.#parts;
        if (this.#stop.signal.aborted) {
            return 0;
        }
        const nowMs = clock.monotonicMs();
        metrics.onStoreCall(call, failure.kind);
        // A call that got no answer may have been lost since it began; one that was refused was refused just now.
        view.onFailedCall(failure.kind === "storeOutcomeUnknown" ? startedAtMs : nowMs);
        if (this.#failures === 0) {
            log.log("warn", "storeLost", { call, kind: failure.kind, detail: failure.detail });
        }
        const limitMs = Math.min(longestStorePauseMs, firstStorePauseMs * 2 ** this.#failures);
        this.#failures++;
        return limitMs * (1 + random.next()) / 2;
    }

    #report(beliefs: readonly BeliefChange[]): void {
        const { log, onChange } = this.#parts;
        for (const { subject, name, change } of beliefs) {
            log.log("info", "belief", { subject, name, change, revision: this.#afterRevision });
        }
        if (beliefs.length > 0) {
            onChange();
        }
    }
}
