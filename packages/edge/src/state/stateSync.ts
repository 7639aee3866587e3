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
    initialStoreBackoffMs,
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
    readonly #deps: StateSyncDeps;
    readonly #stop = new AbortController();
    readonly #sources: WatchSourceSelector;
    readonly #mirror = new StoreMirror();
    readonly #contact: StoreContact;
    readonly #revisionReader: RevisionReader;
    readonly #watchCheck: WatchCheck;
    readonly #outageVerifier: OutageVerifier;
    readonly #pauseDetector: HostPauseDetector;
    readonly #backoffSleep = new InterruptibleSleep();
    /** Aborts the current turn when another source must be used at once. */
    #turnAbort = new AbortController();
    #afterRevision: number | undefined;
    #source: WatchSource["type"] = "store";
    /** Whether the store has answered since it was last chosen as the source, and no check has failed since then. */
    #isStoreConfirmed = false;
    #lastPeerRequestAtMs = -Infinity;
    #hasLargeChange = false;
    /** When the pending watch was sent; `undefined` if none is pending. */
    #watchSentAtMs: number | undefined;
    #timers: readonly NodeJS.Timeout[] = [];

    constructor(deps: StateSyncDeps) {
        super();
        this.#deps = deps;
        this.#sources = new WatchSourceSelector(deps.name, deps.availabilityZone);
        this.#contact = new StoreContact(deps);
        this.#revisionReader = new RevisionReader(deps.store, deps.codec.registrationKey(deps.name));
        this.#watchCheck = new WatchCheck({
            ...deps,
            revisionReader: this.#revisionReader,
            contact: this.#contact,
            state: () => ({ afterRevision: this.#afterRevision, sentAtMs: this.#watchSentAtMs }),
        });
        this.#outageVerifier = new OutageVerifier(deps);
        this.#pauseDetector = new HostPauseDetector(deps.clock);
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
        this.#turnAbort.abort();
        this.#deps.relayClient.close();
    }

    override get isStoreReachable(): boolean {
        return this.#source === "store" && this.#isStoreConfirmed;
    }

    override get ageMs(): number {
        return Math.max(0, this.#now() - this.#deps.view.lastStoreContactMs);
    }

    override get currentAgeMs(): number | undefined {
        const ageMs = this.#now() - this.#deps.view.currentAsOfMs;
        return Number.isFinite(ageMs) ? Math.max(0, ageMs) : undefined;
    }

    override get isReceivingLargeChange(): boolean {
        return this.#hasLargeChange;
    }

    override get heardForMs(): number | undefined {
        return this.#deps.view.storeReachableForMs(this.#now());
    }

    override onPeerRequest(afterRevision: number): void {
        const nowMs = this.#now();
        if (termOf(afterRevision) > termOf(this.#afterRevision ?? Infinity)) {
            // The peer has read the store since it was restored from a backup, and this gateway hasn't.
            this.#onWatchSuspected({ kind: "earlierTerm", askedAfter: afterRevision });
            this.#abortTurn();
        }
        const isFirst = !this.#hasRecentPeerRequest();
        this.#lastPeerRequestAtMs = nowMs;
        this.#sources.onPeerRequest(nowMs);
        // A pending call of the store is aborted by the first request only: if each one did, none would ever complete.
        if (!this.isStoreReachable && (isFirst || this.#source === "peer")) {
            this.#abortTurn();
        }
        if (this.#contact.outage === "lost" && nowMs - this.#contact.lastFailureAtMs >= minStoreProbePeriodMs) {
            // The peer may have just reached the store again.
            this.#backoffSleep.interrupt();
        }
    }

    override changesSince(afterRevision: number): MirroredChanges | undefined {
        return this.#mirror.changesSince(afterRevision);
    }

    async #run(): Promise<void> {
        while (!this.#stop.signal.aborted) {
            const pauseMs = await this.#takeTurn().catch((err: unknown) => {
                // The state that was being applied may be incomplete, so all of it is read again.
                this.#deps.log.log("error", "unexpected", { during: "stateSync", error: String(err) });
                this.#afterRevision = undefined;
                return initialStoreBackoffMs;
            });
            if (pauseMs > 0) {
                await this.#backoffSleep.sleep(pauseMs);
            }
        }
    }

    /** @returns how long to pause until the next turn, in milliseconds */
    async #takeTurn(): Promise<number> {
        this.#dropEarlierTerm();
        const afterRevision = this.#afterRevision;
        const source: WatchSource = afterRevision === undefined
            ? { type: "store" }
            : this.#sources.choose(this.#deps.view.registeredGateways(), this.#now());
        this.#turnAbort = new AbortController();
        if (source.type === "peer" && afterRevision !== undefined) {
            this.#source = "peer";
            this.#isStoreConfirmed = false;
            return this.#watchRelay(source, afterRevision);
        }
        this.#chooseStore();
        const pauseMs = this.#contact.outage === "none" ? undefined : await this.#probe();
        return pauseMs ?? (afterRevision === undefined ? this.#readAll() : this.#watch(afterRevision));
    }

    /** Drops a revision from before a restore of the store, as it is no position in it, to list the state again. */
    #dropEarlierTerm(): void {
        if (this.#afterRevision !== undefined && termOf(this.#afterRevision) < this.#deps.store.term) {
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
        const { signal } = this.#turnAbort;
        const probed = await this.#revisionReader.read(storeProbeTimeoutMs);
        if (signal.aborted) {
            return 0;
        }
        if (probed.isLeft()) {
            return this.#onStoreFailed("probe", probed.extract(), startedAtMs);
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
            this.#isStoreConfirmed = false;
        }
    }

    async #readAll(): Promise<number> {
        const { store, codec, view, initialSyncGate } = this.#deps;
        const startedAtMs = this.#now();
        const read = await readState(store, codec, items => this.#onOperatorRead(items));
        return read.caseOf({
            Left: failure => {
                initialSyncGate.onReadFailed();
                return this.#onStoreFailed("list", failure, startedAtMs);
            },
            Right: ({ revision, entries, items }) => {
                const isFirst = !view.hasSynced;
                const before = { term: view.term, revision: this.#mirror.revision };
                this.#onStoreAnswered("list");
                view.markCurrentAsOf(startedAtMs);
                this.#afterRevision = revision;
                this.#mirror.onFullRead(revision, entries);
                const viewChanges = view.onFullRead(items, this.#now(), termOf(revision));
                if (!isFirst && view.term > before.term) {
                    this.#onStoreRestored(before, revision);
                }
                this.#reportChanges(viewChanges);
                this.#deps.onRelayFeedChange();
                initialSyncGate.onStateRead();
                // While a whole fleet starts, each registration would be a separate change for every gateway.
                return isFirst && view.registeredGateways().length === 0 ? initialWatchDelayMs : 0;
            },
        });
    }

    /** Logs and counts that the store was restored from a backup, after the first list since then. */
    #onStoreRestored(before: { readonly term: number; readonly revision: number; }, revision: number): void {
        const { log, view, metrics, onViewChange } = this.#deps;
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
        const { view, initialSyncGate } = this.#deps;
        if (!view.hasSynced) {
            this.#reportChanges(view.onChanges({ items, deletedKeys: [] }, this.#now()));
            initialSyncGate.onStateRead();
        }
    }

    async #watch(afterRevision: number): Promise<number> {
        const { store, codec } = this.#deps;
        const startedAtMs = this.#now();
        // Unless the store is known to be reachable, the watch returns at once: a long poll would take seconds to fail.
        const wait = this.#isStoreConfirmed
            ? { waitMs: watchLongPollMs, slackMs: watchLongPollGraceMs }
            : { waitMs: 0 };
        const { signal } = this.#turnAbort;
        this.#watchSentAtMs = startedAtMs;
        let responseStartMs: number | undefined;
        const onArriving = (bytes: number): void => {
            responseStartMs ??= this.#now();
            this.#onResponseData(bytes);
        };
        const watched = await store.watch({
            prefix: codec.prefix,
            afterRevision,
            ...wait,
            onProgress: onArriving,
            signal,
        });
        this.#watchSentAtMs = undefined;
        this.#hasLargeChange = false;
        if (signal.aborted) {
            return 0;
        }
        return watched.caseOf({
            Left: failure => {
                if (failure.kind === "storeHistoryLost") {
                    this.#afterRevision = undefined;
                    return 0;
                }
                if (failure.kind === "storeOutcomeUnknown" && this.#deps.view.lastStoreContactMs > startedAtMs) {
                    // Other calls were answered in the meantime, so the connection is dead, not the store.
                    this.#onWatchSuspected({ kind: "silent", waitedMs: Math.round(this.#now() - startedAtMs) });
                    return 0;
                }
                return this.#onStoreFailed("watch", failure, startedAtMs);
            },
            Right: events => {
                this.#onStoreAnswered("watch");
                // A long poll returns the state as of when its response began to arrive.
                this.#deps.view.markCurrentAsOf(wait.waitMs > 0 ? responseStartMs ?? this.#now() : startedAtMs);
                this.#applyChanges(events);
                this.#sources.onCaughtUp();
                // Avoids a tight loop if the store answers a long poll at once without changes.
                const isEarly = wait.waitMs > 0 && this.#now() - startedAtMs < watchBatchDelayMs;
                return isEarly || hasChanges(events) ? watchBatchDelayMs : 0;
            },
        });
    }

    /**
     * Marks the watch as alive, as its response is arriving. Peers that wait for changes are sent to the store if the
     * response is large: they get it sooner from there.
     */
    #onResponseData(bytes: number): void {
        this.#watchSentAtMs = undefined;
        // The store encodes values, so they take more bytes here than in a relayed response.
        if (bytes > 2 * maxRelayedChangesBytes && !this.#hasLargeChange) {
            this.#hasLargeChange = true;
            this.#deps.onRelayFeedChange();
        }
    }

    async #watchRelay(peer: Extract<WatchSource, { readonly type: "peer"; }>, afterRevision: number): Promise<number> {
        const { log, metrics } = this.#deps;
        const { signal } = this.#turnAbort;
        const requestedAtMs = this.#now();
        const fetched = await this.#deps.relayClient.fetchChanges({
            address: peer.address,
            afterRevision,
            longPoll: peer.answeredLast,
            signal,
        });
        if (signal.aborted) {
            return 0;
        }
        return fetched.caseOf({
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
                    tookMs: Math.round(this.#now() - requestedAtMs),
                    sinceStoreMs: Math.round(this.#now() - this.#deps.view.lastStoreContactMs),
                    sinceCurrentMs: this.#getRoundedCurrentAgeMs(),
                });
                return 0;
            },
            Right: response => {
                if (termOf(response.revision) < termOf(afterRevision)) {
                    // The peer hasn't noticed the restore of the store yet, so it lacks the changes made since then.
                    log.log("warn", "relayLost", {
                        peer: peer.name,
                        kind: "earlierTerm",
                        afterRevision,
                        revision: response.revision,
                    });
                    metrics.onRelayRequest("earlierTerm");
                    this.#sources.onFailure(peer.name, this.#now(), true);
                    return 0;
                }
                if (!peer.answeredLast) {
                    const { revision, ageMs, currentAgeMs } = response;
                    log.log("info", "relayChosen", { peer: peer.name, afterRevision, revision, ageMs, currentAgeMs });
                }
                metrics.onRelayRequest("answered");
                this.#sources.onAnswer(peer.name);
                this.#contact.onRelayResponse(response);
                this.#applyChanges(response);
                return 0;
            },
        });
    }

    #applyChanges(events: WatchEvents): void {
        const { view, codec } = this.#deps;
        this.#afterRevision = Math.max(this.#afterRevision ?? 0, events.revision);
        this.#mirror.onChanges(events);
        const items = events.changed.map(entry => codec.decode(entry));
        this.#reportChanges(view.onChanges({ items, deletedKeys: events.deleted }, this.#now()));
        if (hasChanges(events)) {
            this.#deps.onRelayFeedChange();
        }
    }

    /** Opens a new watch if a check finds that the current one may be dead, or if the store has been restored. */
    async #checkWatch(): Promise<void> {
        const suspicion = this.isStoreReachable ? await this.#watchCheck.run() : undefined;
        if (termOf(this.#afterRevision ?? Infinity) < this.#deps.store.term) {
            this.#abortTurn();
        }
        if (suspicion !== undefined) {
            this.#onWatchSuspected(suspicion);
            this.#abortTurn();
        }
    }

    /** Records that the watch may be dead, so that the next one returns at once. */
    #onWatchSuspected(suspicion: LogFields): void {
        this.#deps.log.log("warn", "storeSuspected", { ...suspicion, sinceCurrentMs: this.#getRoundedCurrentAgeMs() });
        this.#isStoreConfirmed = false;
        this.#deps.onRelayFeedChange();
    }

    /** Aborts the current turn, so that the next one chooses its source again. */
    #abortTurn(): void {
        this.#turnAbort.abort();
    }

    #hasRecentPeerRequest(): boolean {
        return this.#now() - this.#lastPeerRequestAtMs < directStoreReadMs;
    }

    #tick(): void {
        this.#reportChanges(this.#deps.view.expire(this.#now()));
        // After a suspension of the host, its state is outdated by that time and its connections may be dead, so the
        // current turn is aborted and the source is queried again.
        const pausedMs = this.#pauseDetector.check();
        if (pausedMs !== undefined) {
            this.#deps.log.log("warn", "hostPaused", { forMs: Math.round(pausedMs) });
            this.#deps.view.onProcessPaused();
            this.#isStoreConfirmed = false;
            this.#abortTurn();
        }
    }

    #onStoreAnswered(call: string): void {
        this.#contact.onCallSucceeded(call);
        if (!this.#isStoreConfirmed) {
            this.#isStoreConfirmed = true;
            this.#deps.onRelayFeedChange();
        }
    }

    #onStoreFailed(call: string, failure: Failure, startedAtMs: number): number {
        if (this.#stop.signal.aborted) {
            return 0;
        }
        this.#isStoreConfirmed = false;
        this.#deps.onRelayFeedChange();
        return this.#contact.onCallFailed(call, failure, startedAtMs);
    }

    #getRoundedCurrentAgeMs(): number | undefined {
        const { currentAgeMs } = this;
        return currentAgeMs === undefined ? undefined : Math.round(currentAgeMs);
    }

    #now(): number {
        return this.#deps.clock.monotonicMs();
    }

    #reportChanges(viewChanges: readonly FleetChange[]): void {
        const { log, view, onViewChange } = this.#deps;
        const sinceStoreMs = Math.round(this.#now() - view.lastStoreContactMs);
        const sinceCurrentMs = this.#getRoundedCurrentAgeMs();
        for (const { subject, name, change } of viewChanges) {
            log.log("info", "belief", {
                subject,
                name,
                change,
                revision: this.#afterRevision,
                sinceStoreMs,
                sinceCurrentMs,
            });
        }
        if (viewChanges.length > 0) {
            onViewChange();
        }
        if (viewChanges.some(({ change }) => change === "lapsed")) {
            void this.#outageVerifier.run();
        }
    }
}

function hasChanges({ changed, deleted }: Pick<WatchEvents, "changed" | "deleted">): boolean {
    return changed.length + deleted.length > 0;
}
