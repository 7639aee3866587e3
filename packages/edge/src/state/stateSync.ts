import { type Failure } from "@galenaglade/errors";
import {
    type FleetChange,
    directStoreReadMs,
    type MirroredChanges,
    revisionOf,
    type StateItem,
    type WatchSource,
    WatchSourceSelector,
    StoreMirror,
    termOf,
} from "@galenaglade/fleet-state";
import { type WatchEvents } from "@galenaglade/platform";
import { type LogFields } from "@galenaglade/telemetry";
import {
    expiryCheckPeriodMs,
    initialWatchDelayMs,
    maxRelayedChangesBytes,
    directWatchMs,
    watchCheckPeriodMs,
    minStoreProbePeriodMs,
    storeProbeTimeoutMs,
    watchBatchDelayMs,
    watchLongPollGraceMs,
    watchLongPollMs,
} from "../constants.js";
import { OutageVerifier } from "./outageVerifier.js";
import { RelayFeed } from "./relayServer.js";
import { HostPauseDetector } from "./hostPauseDetector.js";
import { readState } from "./stateSnapshot.js";
import { type StateSyncDeps } from "./stateSyncDeps.js";
import { StoreContact } from "./storeContact.js";
import { RevisionReader } from "./revisionReader.js";
import { InterruptibleSleep } from "./interruptibleSleep.js";
import { WatchCheck } from "./watchCheck.js";

/**
 * Keeps the view of the fleet in step with the store: one whole reading, then one question for changes after the other, to
 * the store itself or to a gateway that reads it.
 */
export class StateSync extends RelayFeed {
    readonly #parts: StateSyncDeps;
    readonly #stop = new AbortController();
    readonly #sources: WatchSourceSelector;
    readonly #mirror = new StoreMirror();
    readonly #contact: StoreContact;
    readonly #peek: RevisionReader;
    readonly #check: WatchCheck;
    readonly #inquiry: OutageVerifier;
    readonly #pauseDetector: HostPauseDetector;
    readonly #pause = new InterruptibleSleep();
    /** Aborted where another source must be asked at once. */
    #turn = new AbortController();
    #afterRevision: number | undefined;
    #source: WatchSource["type"] = "store";
    /** Whether the store itself has answered since it was last chosen, and no check has failed since. */
    #confirmed = false;
    #askedAtMs = -Infinity;
    #isReadingLarge = false;
    /** When the watch that waits now was sent; `undefined` while none does. */
    #watchingSinceMs: number | undefined;
    #timers: readonly NodeJS.Timeout[] = [];

    constructor(parts: StateSyncDeps) {
        super();
        this.#parts = parts;
        this.#sources = new WatchSourceSelector(parts.name, parts.availabilityZone);
        this.#contact = new StoreContact(parts);
        this.#peek = new RevisionReader(parts.store, parts.codec.registrationKey(parts.name));
        this.#check = new WatchCheck({
            ...parts,
            revisionReader: this.#peek,
            contact: this.#contact,
            state: () => ({ afterRevision: this.#afterRevision, sentAtMs: this.#watchingSinceMs }),
        });
        this.#inquiry = new OutageVerifier(parts);
        this.#pauseDetector = new HostPauseDetector(parts.clock);
    }

    start(): void {
        this.#timers = [
            setInterval(() => this.#tick(), expiryCheckPeriodMs),
            setInterval(() => void this.#checkWatch(), watchCheckPeriodMs),
        ];
        void this.#run();
    }

    stop(): void {
        for (const timer of this.#timers) {
            clearInterval(timer);
        }
        this.#stop.abort();
        this.#turn.abort();
        this.#parts.relayClient.close();
    }

    override get isStoreReachable(): boolean {
        return this.#source === "store" && this.#confirmed;
    }

    override get ageMs(): number {
        return Math.max(0, this.#now() - this.#parts.view.lastStoreContactMs);
    }

    override get currentAgeMs(): number | undefined {
        const ageMs = this.#now() - this.#parts.view.currentAsOfMs;
        return Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined;
    }

    override get isReceivingLargeChange(): boolean {
        return this.#isReadingLarge;
    }

    override get heardForMs(): number | undefined {
        return this.#parts.view.storeReachableForMs(this.#now());
    }

    override onPeerRequest(afterRevision: number): void {
        const nowMs = this.#now();
        if (termOf(afterRevision) > termOf(this.#afterRevision ?? Infinity)) {
            // Whoever asks has read the store after its return, and this gateway hasn't.
            this.#suspect({ kind: "earlierTerm", askedAfter: afterRevision });
            this.#turnNow();
        }
        const isFirst = !this.#isAsked();
        this.#askedAtMs = nowMs;
        this.#sources.onPeerRequest(nowMs);
        // A call of the store that is under way must not be given up with each further question, or none would end.
        if (!this.isStoreReachable && (isFirst || this.#source === "peer")) {
            this.#turnNow();
        }
        if (this.#contact.outage === "lost" && nowMs - this.#contact.lastFailureAtMs >= minStoreProbePeriodMs) {
            // Whoever asks may have just found the store again.
            this.#pause.interrupt();
        }
    }

    override changesSince(afterRevision: number): MirroredChanges | undefined {
        return this.#mirror.changesSince(afterRevision);
    }

    async #run(): Promise<void> {
        while (!this.#stop.signal.aborted) {
            const pauseMs = await this.#takeTurn();
            if (pauseMs > 0) {
                await this.#pause.sleep(pauseMs);
            }
        }
    }

    /** @returns how long to pause until the next turn, in milliseconds */
    async #takeTurn(): Promise<number> {
        this.#dropEarlierTerm();
        const afterRevision = this.#afterRevision;
        const source: WatchSource = afterRevision === undefined
            ? { type: "store" }
            : this.#sources.choose(this.#parts.view.registeredGateways(), this.#now());
        this.#turn = new AbortController();
        if (source.type === "peer" && afterRevision !== undefined) {
            this.#source = "peer";
            this.#confirmed = false;
            return this.#watchPeer(source, afterRevision);
        }
        this.#chooseStore();
        const pauseMs = this.#contact.outage === "none" ? undefined : await this.#probe();
        return pauseMs ?? (afterRevision === undefined ? this.#readAll() : this.#watch(afterRevision));
    }

    /** What was known of a store that came back from an older copy since is no position in it: everything is read anew. */
    #dropEarlierTerm(): void {
        if (this.#afterRevision !== undefined && termOf(this.#afterRevision) < this.#parts.store.term) {
            this.#afterRevision = undefined;
        }
    }

    /**
     * Finds out whether a store that may be away answers. A call that waits, sent right before its return and lost, would be waited for
     * long after it, and a probe costs a tenth of any other call.
     *
     * @returns how long to pause until the next turn, in milliseconds; `undefined` where the store may be called in this one
     */
    async #probe(): Promise<number | undefined> {
        const startedAtMs = this.#now();
        const { signal } = this.#turn;
        const peeked = await this.#peek.read(storeProbeTimeoutMs);
        if (signal.aborted) {
            return 0;
        }
        if (peeked.isLeft()) {
            return this.#onFailure("probe", peeked.extract(), startedAtMs);
        }
        if (!this.#contact.onProbeSucceeded()) {
            return undefined;
        }
        // Hundreds of gateways find the store again at about the same time; most of them need not call it themselves.
        this.#sources.onStoreRecovered();
        return 0;
    }

    #chooseStore(): void {
        if (this.#source !== "store") {
            this.#source = "store";
            this.#confirmed = false;
        }
    }

    async #readAll(): Promise<number> {
        const { store, codec, view, initialSyncGate } = this.#parts;
        const startedAtMs = this.#now();
        const read = await readState(store, codec, items => this.#onOperatorRead(items));
        return read.caseOf({
            Left: failure => {
                initialSyncGate.onReadFailed();
                return this.#onFailure("list", failure, startedAtMs);
            },
            Right: ({ revision, entries, items }) => {
                const isFirst = !view.hasSynced;
                const before = { term: view.term, revision: this.#mirror.revision };
                this.#onContact("list");
                view.markCurrentAsOf(startedAtMs);
                this.#afterRevision = revision;
                this.#mirror.onFullRead(revision, entries);
                const beliefs = view.onFullRead(items, this.#now(), termOf(revision));
                if (!isFirst && view.term > before.term) {
                    this.#onRestored(before, revision);
                }
                this.#report(beliefs);
                this.#parts.onRelayFeedChange();
                initialSyncGate.onStateRead();
                // When a whole fleet starts, each registration would be a change of its own for every gateway.
                return isFirst && view.registeredGateways().length === 0 ? initialWatchDelayMs : 0;
            },
        });
    }

    /** The store came back from an older copy and has been read. */
    #onRestored(before: { readonly term: number; readonly revision: number; }, revision: number): void {
        const { log, view, metrics, onViewChange } = this.#parts;
        log.log("warn", "storeRestored", {
            term: view.term,
            termBefore: before.term,
            revision: revisionOf(revision),
            revisionBefore: revisionOf(before.revision),
            unconfirmed: view.countUnconfirmedKeys(),
            version: view.configurationInForce?.configuration.version,
        });
        metrics.onStoreRestored();
        onViewChange();
    }

    /** Serves by a part of the first reading: a large fleet waits for the store's link. */
    #onOperatorRead(items: readonly StateItem[]): void {
        const { view, initialSyncGate } = this.#parts;
        if (!view.hasSynced) {
            this.#report(view.onChanges({ items, deletedKeys: [] }, this.#now()));
            initialSyncGate.onStateRead();
        }
    }

    async #watch(afterRevision: number): Promise<number> {
        const { store, codec } = this.#parts;
        const startedAtMs = this.#now();
        // While nobody knows whether the store is reached, a watch that waits would say so seconds later.
        const wait = this.#confirmed ? { waitMs: watchLongPollMs, slackMs: watchLongPollGraceMs } : { waitMs: 0 };
        const { signal } = this.#turn;
        this.#watchingSinceMs = startedAtMs;
        let answeredAtMs: number | undefined;
        const onArriving = (bytes: number): void => {
            answeredAtMs ??= this.#now();
            this.#onArriving(bytes);
        };
        const seen = await store.watch({ prefix: codec.prefix, afterRevision, ...wait, onArriving, signal });
        this.#watchingSinceMs = undefined;
        this.#isReadingLarge = false;
        if (signal.aborted) {
            return 0;
        }
        return seen.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                if (failure.kind === "storeOutcomeUnknown" && this.#parts.view.lastStoreContactMs > startedAtMs) {
                    // Other calls were answered meanwhile: the connection is dead, not the store.
                    this.#suspect({ kind: "silent", waitedMs: Math.round(this.#now() - startedAtMs) });
                    return 0;
                }
                return this.#onFailure("watch", failure, startedAtMs);
            },
            Right: events => {
                this.#onContact("watch");
                // One that waited tells the state as of when its answer began.
                this.#parts.view.markCurrentAsOf(wait.waitMs > 0 ? answeredAtMs ?? this.#now() : startedAtMs);
                this.#learn(events);
                this.#sources.onCaughtUp();
                // A store that answers a watch at once without changes must not be asked in a tight loop.
                const cameEarly = wait.waitMs > 0 && this.#now() - startedAtMs < watchBatchDelayMs;
                return cameEarly || hasChanges(events) ? watchBatchDelayMs : 0;
            },
        });
    }

    /** A watch that is being answered isn't dead; where the answer is large, whoever waits for it here gets it sooner from the store. */
    #onArriving(bytes: number): void {
        this.#watchingSinceMs = undefined;
        // What arrives is longer than what is passed on: the store encodes its values.
        if (bytes > 2 * maxRelayedChangesBytes && !this.#isReadingLarge) {
            this.#isReadingLarge = true;
            this.#parts.onRelayFeedChange();
        }
    }

    async #watchPeer(peer: Extract<WatchSource, { readonly type: "peer"; }>, afterRevision: number): Promise<number> {
        const { log, metrics } = this.#parts;
        const { signal } = this.#turn;
        const askedAtMs = this.#now();
        const told = await this.#parts.relayClient.fetchChanges({
            address: peer.address,
            afterRevision,
            longPoll: peer.answeredLast,
            signal,
        });
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
                if (failure.kind === "bodyTooLarge") {
                    log.log("info", "changeNotPassedOn", { peer: peer.name, afterRevision });
                    this.#sources.onChangeNotRelayed(this.#now(), directWatchMs);
                    return 0;
                }
                this.#contact.onRelayFailed(this.#now());
                this.#sources.onFailure(peer.name, this.#now(), failure.kind === "storeUnavailable");
                log.log("warn", "relayLost", {
                    peer: peer.name,
                    kind: failure.kind,
                    detail: failure.detail,
                    tookMs: Math.round(this.#now() - askedAtMs),
                    sinceStoreMs: Math.round(this.#now() - this.#parts.view.lastStoreContactMs),
                    sinceCurrentMs: this.#describeCurrentAge(),
                });
                return 0;
            },
            Right: answer => {
                if (termOf(answer.revision) < termOf(afterRevision)) {
                    // It hasn't noticed the store's return yet, and can't tell what came since.
                    log.log("warn", "relayLost", {
                        peer: peer.name,
                        kind: "earlierTerm",
                        afterRevision,
                        revision: answer.revision,
                    });
                    metrics.onRelayRequest("earlierTerm");
                    this.#sources.onFailure(peer.name, this.#now(), true);
                    return 0;
                }
                if (!peer.answeredLast) {
                    const { revision, ageMs, currentAgeMs } = answer;
                    log.log("info", "relayChosen", { peer: peer.name, afterRevision, revision, ageMs, currentAgeMs });
                }
                metrics.onRelayRequest("answered");
                this.#sources.onAnswer(peer.name);
                this.#contact.onRelayResponse(answer);
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
            this.#parts.onRelayFeedChange();
        }
    }

    /** A watch of which a check finds that it may be dead, or of a store that has since come back from an older copy, is opened anew. */
    async #checkWatch(): Promise<void> {
        const suspicion = this.isStoreReachable ? await this.#check.run() : undefined;
        if (termOf(this.#afterRevision ?? Infinity) < this.#parts.store.term) {
            this.#turnNow();
        }
        if (suspicion !== undefined) {
            this.#suspect(suspicion);
            this.#turnNow();
        }
    }

    /** The watch may be dead: the next one doesn't wait. */
    #suspect(suspicion: LogFields): void {
        this.#parts.log.log("warn", "storeSuspected", { ...suspicion, sinceCurrentMs: this.#describeCurrentAge() });
        this.#confirmed = false;
        this.#parts.onRelayFeedChange();
    }

    /** Ends the present turn, so that the next one asks whom it should. */
    #turnNow(): void {
        this.#turn.abort();
    }

    #isAsked(): boolean {
        return this.#now() - this.#askedAtMs < directStoreReadMs;
    }

    #tick(): void {
        this.#report(this.#parts.view.expire(this.#now()));
        // What a host believes that stood still is as old as the time that it missed, and its connections may be dead: the
        // present turn is given up and the source asked anew.
        const stoodMs = this.#pauseDetector.check();
        if (stoodMs !== undefined) {
            this.#parts.log.log("warn", "hostPaused", { forMs: Math.round(stoodMs) });
            this.#parts.view.onProcessPaused();
            this.#confirmed = false;
            this.#turnNow();
        }
    }

    #onContact(call: string): void {
        this.#contact.onCallSucceeded(call);
        if (!this.#confirmed) {
            this.#confirmed = true;
            this.#parts.onRelayFeedChange();
        }
    }

    #onFailure(call: string, failure: Failure, startedAtMs: number): number {
        if (this.#stop.signal.aborted) {
            return 0;
        }
        this.#confirmed = false;
        this.#parts.onRelayFeedChange();
        return this.#contact.onCallFailed(call, failure, startedAtMs);
    }

    #describeCurrentAge(): number | undefined {
        const { currentAgeMs } = this;
        return currentAgeMs === undefined ? undefined : Math.round(currentAgeMs);
    }

    #now(): number {
        return this.#parts.clock.monotonicMs();
    }

    #report(beliefs: readonly FleetChange[]): void {
        const { log, view, onViewChange } = this.#parts;
        const sinceStoreMs = Math.round(this.#now() - view.lastStoreContactMs);
        const sinceCurrentMs = this.#describeCurrentAge();
        for (const { subject, name, change } of beliefs) {
            log.log("info", "belief", {
                subject,
                name,
                change,
                revision: this.#afterRevision,
                sinceStoreMs,
                sinceCurrentMs,
            });
        }
        if (beliefs.length > 0) {
            onViewChange();
        }
        if (beliefs.some(({ change }) => change === "lapsed")) {
            void this.#inquiry.run();
        }
    }
}

function hasChanges({ changed, deleted }: Pick<WatchEvents, "changed" | "deleted">): boolean {
    return changed.length + deleted.length > 0;
}
