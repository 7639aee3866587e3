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
 * Keeps the view of the fleet in sync with the store: lists the whole state once, then watches for changes, either in
 * the store itself or through a gateway that relays them.
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
    /** Aborts the current turn when another source must be used at once. */
    #turn = new AbortController();
    #afterRevision: number | undefined;
    #source: WatchSource["type"] = "store";
    /** Whether the store has answered since it was last chosen as the source, and no check has failed since then. */
    #confirmed = false;
    #askedAtMs = -Infinity;
    #isReadingLarge = false;
    /** When the pending watch was sent; `undefined` if none is pending. */
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
            // The peer has read the store since it was restored from a backup, and this gateway hasn't.
            this.#suspect({ kind: "earlierTerm", askedAfter: afterRevision });
            this.#turnNow();
        }
        const isFirst = !this.#isAsked();
        this.#askedAtMs = nowMs;
        this.#sources.onPeerRequest(nowMs);
        // A pending call of the store is aborted by the first request only: if each one did, none would ever complete.
        if (!this.isStoreReachable && (isFirst || this.#source === "peer")) {
            this.#turnNow();
        }
        if (this.#contact.outage === "lost" && nowMs - this.#contact.lastFailureAtMs >= minStoreProbePeriodMs) {
            // The peer may have just reached the store again.
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

    /** Drops a revision from before a restore of the store, as it is no position in it, to list the state again. */
    #dropEarlierTerm(): void {
        if (this.#afterRevision !== undefined && termOf(this.#afterRevision) < this.#parts.store.term) {
            this.#afterRevision = undefined;
        }
    }

    /**
     * Probes a store that may be down before it is called. A watch that is sent and lost right before the store's
     * recovery would be waited for long after it, and a probe costs a tenth of any other call.
     *
     * @returns the pause until the next turn in milliseconds; `undefined` if the store can be called in this turn
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
        // Hundreds of gateways reach the store again at about the same time, and most of them can use a relay instead.
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
                // While a whole fleet starts, each registration would be a separate change for every gateway.
                return isFirst && view.registeredGateways().length === 0 ? initialWatchDelayMs : 0;
            },
        });
    }

    /** Logs and counts that the store was restored from a backup, after the first list since then. */
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

    /** Starts to serve with a part of the first list, as the whole state of a large fleet takes long to transfer. */
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
        // Unless the store is known to be reachable, the watch returns at once: a long poll would take seconds to fail.
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
                    // Other calls were answered in the meantime, so the connection is dead, not the store.
                    this.#suspect({ kind: "silent", waitedMs: Math.round(this.#now() - startedAtMs) });
                    return 0;
                }
                return this.#onFailure("watch", failure, startedAtMs);
            },
            Right: events => {
                this.#onContact("watch");
                // A long poll returns the state as of when its response began to arrive.
                this.#parts.view.markCurrentAsOf(wait.waitMs > 0 ? answeredAtMs ?? this.#now() : startedAtMs);
                this.#learn(events);
                this.#sources.onCaughtUp();
                // Avoids a tight loop if the store answers a long poll at once without changes.
                const cameEarly = wait.waitMs > 0 && this.#now() - startedAtMs < watchBatchDelayMs;
                return cameEarly || hasChanges(events) ? watchBatchDelayMs : 0;
            },
        });
    }

    /**
     * Marks the watch as alive, as its response is arriving. Peers that wait for changes are sent to the store if the
     * response is large: they get it sooner from there.
     */
    #onArriving(bytes: number): void {
        this.#watchingSinceMs = undefined;
        // The store encodes values, so they take more bytes here than in a relayed response.
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
                    // The peer hasn't noticed the restore of the store yet, so it lacks the changes made since then.
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

    /** Opens a new watch if a check finds that the current one may be dead, or if the store has been restored. */
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

    /** Records that the watch may be dead, so that the next one returns at once. */
    #suspect(suspicion: LogFields): void {
        this.#parts.log.log("warn", "storeSuspected", { ...suspicion, sinceCurrentMs: this.#describeCurrentAge() });
        this.#confirmed = false;
        this.#parts.onRelayFeedChange();
    }

    /** Aborts the current turn, so that the next one chooses its source again. */
    #turnNow(): void {
        this.#turn.abort();
    }

    #isAsked(): boolean {
        return this.#now() - this.#askedAtMs < directStoreReadMs;
    }

    #tick(): void {
        this.#report(this.#parts.view.expire(this.#now()));
        // After a suspension of the host, its state is outdated by that time and its connections may be dead, so the
        // current turn is aborted and the source is queried again.
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
