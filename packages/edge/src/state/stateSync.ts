import { type Failure } from "@galenaglade/errors";
import {
    type BeliefChange,
    directMs,
    type FleetView,
    type MirroredChanges,
    type NewsSource,
    NewsSources,
    StoreMirror,
} from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type KeyValueStore, type WatchEvents } from "@galenaglade/platform";
import { type RandomSource } from "@galenaglade/routing";
import { type Either } from "purify-ts";
import {
    expiryTickMs,
    firstNewsPauseMs,
    firstStorePauseMs,
    longestStorePauseMs,
    proofMs,
    proofTimeoutMs,
    stoodStillMs,
    watchPauseMs,
    watchWaitMs,
} from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { NewsClient } from "./newsClient.js";
import { NewsTeller } from "./newsServer.js";

/** What the synchronisation works with. */
export interface StateSyncParts {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    /** Makes the cheapest call that shows whether the store is reached. */
    readonly prove: () => Promise<Either<Failure, unknown>>;
    /** Called after each change of what is believed. */
    readonly onChange: () => void;
    /** Called when other gateways may be told something new. */
    readonly onNews: () => void;
}

/**
 * Keeps the view of the fleet in step with the store: one whole reading, then one question for news after the other, to
 * the store itself or to a gateway that reads it.
 */
export class StateSync extends NewsTeller {
    readonly #parts: StateSyncParts;
    readonly #stop = new AbortController();
    readonly #sources: NewsSources;
    readonly #news = new NewsClient();
    readonly #mirror = new StoreMirror();
    /** Aborted where another source must be asked at once. */
    #turn = new AbortController();
    #afterRevision: number | undefined;
    #source: NewsSource["type"] = "store";
    /** Whether the store itself has answered since it was last chosen, and is not in doubt. */
    #confirmed = false;
    #askedAtMs = -Infinity;
    #failures = 0;
    /** When a peer or a proof first said that the store may be away; a failed call of one's own makes it so. */
    #doubtedSinceMs: number | undefined;
    #timers: readonly NodeJS.Timeout[] = [];
    #clockSkewMs = 0;

    constructor(parts: StateSyncParts) {
        super();
        this.#parts = parts;
        this.#sources = new NewsSources(parts.name, parts.availabilityZone);
    }

    start(): void {
        this.#clockSkewMs = this.#readSkew();
        this.#timers = [
            setInterval(() => this.#tick(), expiryTickMs),
            setInterval(() => void this.#prove(), proofMs),
        ];
        void this.#run();
    }

    stop(): void {
        for (const timer of this.#timers) {
            clearInterval(timer);
        }
        this.#stop.abort();
        this.#turn.abort();
        this.#news.close();
    }

    override get reachesStore(): boolean {
        return this.#source === "store" && this.#confirmed;
    }

    override get ageMs(): number {
        return Math.max(0, this.#now() - this.#parts.view.lastContactMs);
    }

    override onAsked(): void {
        const nowMs = this.#now();
        const isFirst = !this.#isAsked();
        this.#askedAtMs = nowMs;
        this.#sources.onAsked(nowMs);
        // A call of the store that is under way must not be given up with each further question, or none would end.
        if (!this.reachesStore && (isFirst || this.#source === "peer")) {
            this.#turnNow();
        }
    }

    override changesSince(afterRevision: number): MirroredChanges | undefined {
        return this.#mirror.changesSince(afterRevision);
    }

    async #run(): Promise<void> {
        while (!this.#stop.signal.aborted) {
            const pauseMs = await this.#takeTurn();
            if (pauseMs > 0) {
                await sleep(pauseMs);
            }
        }
    }

    /** @returns how long to pause until the next turn, in milliseconds */
    async #takeTurn(): Promise<number> {
        const afterRevision = this.#afterRevision;
        if (afterRevision === undefined) {
            this.#chooseStore();
            return this.#readAll();
        }
        const source = this.#sources.choose(this.#parts.view.registeredGateways(), this.#now());
        this.#turn = new AbortController();
        if (source.type === "peer") {
            this.#source = "peer";
            this.#confirmed = false;
            return this.#askPeer(source, afterRevision);
        }
        this.#chooseStore();
        return this.#watch(afterRevision);
    }

    #chooseStore(): void {
        if (this.#source !== "store") {
            this.#source = "store";
            this.#confirmed = false;
        }
    }

    async #readAll(): Promise<number> {
        const { store, codec, view } = this.#parts;
        const startedAtMs = this.#now();
        const read = await store.list(codec.prefix);
        return read.caseOf({
            Left: failure => this.#onFailure("list", failure, startedAtMs),
            Right: ({ revision, entries }) => {
                const isFirst = !view.isRead;
                this.#onContact("list");
                this.#afterRevision = revision;
                this.#mirror.onReading(revision, entries);
                this.#report(view.onReading(entries.map(entry => codec.decode(entry)), this.#now()));
                this.#parts.onNews();
                // When a whole fleet starts, each registration would be news of its own to every gateway.
                return isFirst && view.registeredGateways().length === 0 ? firstNewsPauseMs : 0;
            },
        });
    }

    async #watch(afterRevision: number): Promise<number> {
        const { store, codec } = this.#parts;
        const startedAtMs = this.#now();
        // Somebody waits to hear whether the store is reached: a watch without news would say so seconds later.
        const waitMs = this.#isAsked() && !this.#confirmed ? 0 : watchWaitMs;
        const { signal } = this.#turn;
        const seen = await store.watch({ prefix: codec.prefix, afterRevision, waitMs, signal });
        if (signal.aborted) {
            return 0;
        }
        return seen.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                return this.#onFailure("watch", failure, startedAtMs);
            },
            Right: events => {
                this.#onContact("watch");
                this.#learn(events);
                // A store that answers a watch at once without news must not be asked in a tight loop.
                const cameEarly = waitMs > 0 && this.#now() - startedAtMs < watchPauseMs;
                return cameEarly || isNews(events) ? watchPauseMs : 0;
            },
        });
    }

    async #askPeer(peer: Extract<NewsSource, { readonly type: "peer"; }>, afterRevision: number): Promise<number> {
        const { log, view, metrics } = this.#parts;
        const { signal } = this.#turn;
        const told = await this.#news.ask({ address: peer.address, afterRevision, waits: peer.known, signal });
        if (signal.aborted) {
            return 0;
        }
        return told.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                metrics.onNewsAsked(failure.kind);
                this.#doubtedSinceMs ??= this.#now();
                this.#sources.onFailure(peer.name, this.#now());
                log.log("warn", "newsLost", { peer: peer.name, kind: failure.kind, detail: failure.detail });
                return 0;
            },
            Right: answer => {
                if (!peer.known) {
                    log.log("info", "newsSource", { peer: peer.name, revision: answer.revision, ageMs: answer.ageMs });
                }
                metrics.onNewsAsked("answered");
                this.#sources.onAnswer(peer.name);
                this.#onStoreHeard(view.onContact(this.#now(), answer.ageMs));
                this.#learn(answer);
                return 0;
            },
        });
    }

    #learn(events: WatchEvents): void {
        const { view, codec } = this.#parts;
        this.#afterRevision = Math.max(this.#afterRevision ?? 0, events.revision);
        this.#mirror.onChanges(events);
        const items = events.changed.map(entry => codec.decode(entry));
        this.#report(view.onChanges({ items, deletedKeys: events.deleted }, this.#now()));
        if (isNews(events)) {
            this.#parts.onNews();
        }
    }

    /**
     * Proves to those that ask this gateway that it still reaches the store. Where the proof fails they are sent elsewhere
     * at once, and the watch, whose connection may be as dead, is opened anew.
     */
    async #prove(): Promise<void> {
        if (!this.#isAsked() || !this.reachesStore) {
            return;
        }
        const { metrics, view, log } = this.#parts;
        const startedAtMs = this.#now();
        const proof = await Promise.race([this.#parts.prove(), sleep(proofTimeoutMs)]);
        const failure = proof?.swap().toMaybe().extract();
        if (proof !== undefined && (failure === undefined || failure.kind === "notFound")) {
            metrics.onStoreCall("prove", "answered");
            view.onContact(this.#now());
            return;
        }
        metrics.onStoreCall("prove", failure?.kind ?? "late");
        if (view.lastContactMs > startedAtMs) {
            return;
        }
        log.log("warn", "storeDoubted", {
            kind: failure?.kind ?? "late",
            tookMs: Math.round(this.#now() - startedAtMs),
        });
        this.#doubtedSinceMs ??= startedAtMs;
        this.#confirmed = false;
        this.#parts.onNews();
        this.#turnNow();
    }

    /** Ends the present turn, so that the next one asks whom it should. */
    #turnNow(): void {
        this.#turn.abort();
    }

    #isAsked(): boolean {
        return this.#now() - this.#askedAtMs < directMs;
    }

    #tick(): void {
        this.#report(this.#parts.view.expire(this.#now()));
        // The steady clock stands still with the host. What it believes is as old as the time that it missed, and
        // connections may be dead, so the present turn is given up and the store asked anew.
        const skewMs = this.#readSkew();
        if (Math.abs(skewMs - this.#clockSkewMs) > stoodStillMs) {
            this.#parts.log.log("warn", "stoodStill", { forMs: Math.round(skewMs - this.#clockSkewMs) });
            this.#confirmed = false;
            this.#turnNow();
        }
        this.#clockSkewMs = skewMs;
    }

    #readSkew(): number {
        const { clock } = this.#parts;
        return clock.epochMs() - clock.monotonicMs();
    }

    #onContact(call: string): void {
        const { view, metrics } = this.#parts;
        metrics.onStoreCall(call, "answered");
        this.#onStoreHeard(view.onContact(this.#now()));
        if (!this.#confirmed) {
            this.#confirmed = true;
            this.#parts.onNews();
        }
    }

    #onStoreHeard(awayMs: number | undefined): void {
        if (this.#failures > 0) {
            this.#parts.log.log("info", "storeRegained", { failedCalls: this.#failures, awayMs });
        }
        this.#failures = 0;
        this.#doubtedSinceMs = undefined;
    }

    #onFailure(call: string, failure: Failure, startedAtMs: number): number {
        const { view, log, metrics } = this.#parts;
        if (this.#stop.signal.aborted) {
            return 0;
        }
        const nowMs = this.#now();
        metrics.onStoreCall(call, failure.kind);
        // A call that got no answer may have been lost since it began; one that was refused was refused just now.
        const sinceMs = failure.kind === "storeOutcomeUnknown" ? startedAtMs : nowMs;
        view.onFailedCall(Math.min(sinceMs, this.#doubtedSinceMs ?? sinceMs));
        if (this.#failures === 0) {
            log.log("warn", "storeLost", { call, kind: failure.kind, detail: failure.detail });
        }
        this.#confirmed = false;
        this.#parts.onNews();
        return this.#pauseAfterFailure();
    }

    #pauseAfterFailure(): number {
        const limitMs = Math.min(longestStorePauseMs, firstStorePauseMs * 2 ** this.#failures);
        this.#failures++;
        return limitMs * (1 + this.#parts.random.next()) / 2;
    }

    #now(): number {
        return this.#parts.clock.monotonicMs();
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

function isNews({ changed, deleted }: Pick<WatchEvents, "changed" | "deleted">): boolean {
    return changed.length + deleted.length > 0;
}
