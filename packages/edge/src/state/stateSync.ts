import { type Failure } from "@galenaglade/errors";
import {
    type BeliefChange,
    directMs,
    type MirroredChanges,
    type StateItem,
    type WatchSource,
    RelaySources,
    StoreMirror,
} from "@galenaglade/fleet-state";
import { sleep } from "@galenaglade/http-parts";
import { type KeyValue, type KeyValueStore, type WatchEvents } from "@galenaglade/platform";
import { type Either } from "purify-ts";
import {
    expiryTickMs,
    firstWatchPauseMs,
    storeCheckMs,
    storeCheckTimeoutMs,
    watchPauseMs,
    watchWaitMs,
} from "../constants.js";
import { type StateCodec } from "../stateCodec.js";
import { type FirstReading } from "./firstReading.js";
import { type PeerChanges } from "./relayClient.js";
import { RelayFeed } from "./relayServer.js";
import { PauseDetector } from "./pauseDetector.js";
import { StoreContact, type StoreContactParts } from "./storeContact.js";

/** What the synchronisation works with. */
export interface StateSyncParts extends StoreContactParts {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    /** Makes the cheapest call that shows whether the store is reached. */
    readonly checkStore: () => Promise<Either<Failure, unknown>>;
    /** Called after each change of what is believed. */
    readonly onChange: () => void;
    /** Called when other gateways may be told something new. */
    readonly onChanged: () => void;
    readonly firstReading: FirstReading;
    readonly peers: PeerChanges;
}

/**
 * Keeps the view of the fleet in step with the store: one whole reading, then one question for changes after the other, to
 * the store itself or to a gateway that reads it.
 */
export class StateSync extends RelayFeed {
    readonly #parts: StateSyncParts;
    readonly #stop = new AbortController();
    readonly #sources: RelaySources;
    readonly #mirror = new StoreMirror();
    readonly #contact: StoreContact;
    readonly #pauseDetector: PauseDetector;
    /** Aborted where another source must be asked at once. */
    #turn = new AbortController();
    #afterRevision: number | undefined;
    #source: WatchSource["type"] = "store";
    /** Whether the store itself has answered since it was last chosen, and no check has failed since. */
    #confirmed = false;
    #askedAtMs = -Infinity;
    #timers: readonly NodeJS.Timeout[] = [];

    constructor(parts: StateSyncParts) {
        super();
        this.#parts = parts;
        this.#sources = new RelaySources(parts.name, parts.availabilityZone);
        this.#contact = new StoreContact(parts);
        this.#pauseDetector = new PauseDetector(parts.clock);
    }

    start(): void {
        this.#timers = [
            setInterval(() => this.#tick(), expiryTickMs),
            setInterval(() => void this.#checkStore(), storeCheckMs),
        ];
        void this.#run();
    }

    stop(): void {
        for (const timer of this.#timers) {
            clearInterval(timer);
        }
        this.#stop.abort();
        this.#turn.abort();
        this.#parts.peers.close();
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
            return this.#watchPeer(source, afterRevision);
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
        const { store, codec, view, firstReading } = this.#parts;
        const startedAtMs = this.#now();
        const items: StateItem[] = [];
        const decode = (entries: readonly KeyValue[]): readonly StateItem[] => {
            items.push(...entries.slice(items.length).map(entry => codec.decode(entry)));
            return items;
        };
        const read = await store.list(codec.prefix, entries => this.#onPart(entries.at(-1)?.key, decode(entries)));
        return read.caseOf({
            Left: failure => {
                firstReading.onFailed();
                return this.#onFailure("list", failure, startedAtMs);
            },
            Right: ({ revision, entries }) => {
                const isFirst = !view.isRead;
                this.#onContact("list");
                this.#afterRevision = revision;
                this.#mirror.onReading(revision, entries);
                this.#report(view.onReading(decode(entries), this.#now()));
                this.#parts.onChanged();
                firstReading.onRead();
                // When a whole fleet starts, each registration would be a change of its own for every gateway.
                return isFirst && view.registeredGateways().length === 0 ? firstWatchPauseMs : 0;
            },
        });
    }

    /** Serves by a part of the first reading that has all of the operator's keys: a large fleet waits for the store's link. */
    #onPart(lastKey: string | undefined, items: readonly StateItem[]): void {
        const { codec, view, firstReading } = this.#parts;
        if (view.isRead || lastKey === undefined || !codec.isPastOperator(lastKey)) {
            return;
        }
        this.#report(view.onChanges({ items, deletedKeys: [] }, this.#now()));
        firstReading.onRead();
    }

    async #watch(afterRevision: number): Promise<number> {
        const { store, codec } = this.#parts;
        const startedAtMs = this.#now();
        // Somebody waits to hear whether the store is reached: a watch without changes would say so seconds later.
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
                // A store that answers a watch at once without changes must not be asked in a tight loop.
                const cameEarly = waitMs > 0 && this.#now() - startedAtMs < watchPauseMs;
                return cameEarly || hasChanges(events) ? watchPauseMs : 0;
            },
        });
    }

    async #watchPeer(peer: Extract<WatchSource, { readonly type: "peer"; }>, afterRevision: number): Promise<number> {
        const { log, metrics } = this.#parts;
        const { signal } = this.#turn;
        const askedAtMs = this.#now();
        const told = await this.#parts.peers.ask({ address: peer.address, afterRevision, waits: peer.known, signal });
        if (signal.aborted) {
            return 0;
        }
        return told.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                metrics.onRelayRequest(failure.kind);
                this.#contact.onSuspected(this.#now());
                this.#sources.onFailure(peer.name, this.#now());
                log.log("warn", "relayLost", {
                    peer: peer.name,
                    kind: failure.kind,
                    detail: failure.detail,
                    tookMs: Math.round(this.#now() - askedAtMs),
                    sinceStoreMs: Math.round(this.#now() - this.#parts.view.lastContactMs),
                });
                return 0;
            },
            Right: answer => {
                if (!peer.known) {
                    log.log("info", "relayChosen", { peer: peer.name, revision: answer.revision, ageMs: answer.ageMs });
                }
                metrics.onRelayRequest("answered");
                this.#sources.onAnswer(peer.name);
                this.#contact.onPassedOn(answer.ageMs);
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
        if (hasChanges(events)) {
            this.#parts.onChanged();
        }
    }

    /**
     * Checks that the store is still reached, while other gateways ask this one. Where it isn't, they are sent elsewhere at
     * once, and the watch, whose connection may be as dead, is opened anew.
     */
    async #checkStore(): Promise<void> {
        if (!this.#isAsked() || !this.reachesStore) {
            return;
        }
        const { metrics, view, log } = this.#parts;
        const startedAtMs = this.#now();
        const outcome = await Promise.race([this.#parts.checkStore(), sleep(storeCheckTimeoutMs)]);
        const failure = outcome?.swap().toMaybe().extract();
        if (outcome !== undefined && (failure === undefined || failure.kind === "notFound")) {
            metrics.onStoreCall("check", "answered");
            view.onContact(this.#now());
            return;
        }
        metrics.onStoreCall("check", failure?.kind ?? "late");
        if (view.lastContactMs > startedAtMs) {
            return;
        }
        log.log("warn", "storeSuspected", {
            kind: failure?.kind ?? "late",
            tookMs: Math.round(this.#now() - startedAtMs),
        });
        this.#contact.onSuspected(startedAtMs);
        this.#confirmed = false;
        this.#parts.onChanged();
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
        // What a host believes that stood still is as old as the time that it missed, and its connections may be dead: the
        // present turn is given up and the source asked anew.
        const stoodMs = this.#pauseDetector.check();
        if (stoodMs !== undefined) {
            this.#parts.log.log("warn", "hostPaused", { forMs: Math.round(stoodMs) });
            this.#confirmed = false;
            this.#turnNow();
        }
    }

    #onContact(call: string): void {
        this.#contact.onAnswered(call);
        if (!this.#confirmed) {
            this.#confirmed = true;
            this.#parts.onChanged();
        }
    }

    #onFailure(call: string, failure: Failure, startedAtMs: number): number {
        if (this.#stop.signal.aborted) {
            return 0;
        }
        this.#confirmed = false;
        this.#parts.onChanged();
        return this.#contact.onFailed(call, failure, startedAtMs, this.#sources.isFallbackReader(this.#now()));
    }

    #now(): number {
        return this.#parts.clock.monotonicMs();
    }

    #report(beliefs: readonly BeliefChange[]): void {
        const { log, view, onChange } = this.#parts;
        const sinceStoreMs = Math.round(this.#now() - view.lastContactMs);
        for (const { subject, name, change } of beliefs) {
            log.log("info", "belief", { subject, name, change, revision: this.#afterRevision, sinceStoreMs });
        }
        if (beliefs.length > 0) {
            onChange();
        }
    }
}

function hasChanges({ changed, deleted }: Pick<WatchEvents, "changed" | "deleted">): boolean {
    return changed.length + deleted.length > 0;
}
