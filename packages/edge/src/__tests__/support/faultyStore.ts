import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "@galenaglade/platform";
import { revisionOf, StoreTerm, termOf, toPosition } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { KeyValueEngine } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";
import { type VirtualClock } from "./virtualClock.js";

/** Fault of the store. */
export type StoreFault = "silent" | "reset" | "busy" | "refusing" | "slow";

/** Timeout of a call, on top of a watch's wait, in milliseconds; the same as that of the platform's client. */
const callTimeoutMs = 800;
const usualLatencyMs = 4;
const slowLatencyMs = 240;
/** Age of the oldest backup that the store can be restored from, in milliseconds. */
const maxBackupAgeMs = 40_000;

/** Calls of all gateways in total. */
export interface CallCounts {
    /** Cost as the store charges it: lease renewals and reads that may be stale cost a tenth of other calls. */
    cost: number;
    writes: number;
    reads: number;
}

/** Store on virtual time that several gateways share, with faults that the test starts and ends. */
export class FaultyStore {
    #engine = new KeyValueEngine();
    /** Incremented with each restore from a backup; sent with each response. */
    term = 1;
    readonly clock: VirtualClock;
    readonly random: RandomSource;
    fault: StoreFault | undefined;
    /** Watches from an earlier revision fail because their history is compacted. */
    compactRevision = 0;
    /** Fixed revision that reads which may be stale return; `undefined` for none. */
    pinnedReadRevision: number | undefined;
    /** Age of the state that reads which may be stale return, in milliseconds. */
    stalenessMs = 0;
    /** State that watches see in place of the current one, to hold changes back from them. */
    watchSnapshot: KeyValueEngine | undefined;
    readonly calls: CallCounts = { cost: 0, writes: 0, reads: 0 };
    readonly #listeners = new Set<() => void>();
    /** Backups of the state after each recent change, oldest first. */
    #backups: readonly { readonly atMs: number; readonly engine: KeyValueEngine; }[] = [];
    #faultCount = 0;
    /** Start of each recent revision, oldest first. */
    #revisions: readonly { readonly atMs: number; readonly revision: number; }[] = [];

    constructor(clock: VirtualClock, random: RandomSource) {
        this.clock = clock;
        this.random = random;
    }

    get engine(): KeyValueEngine {
        return this.#engine;
    }

    /**
     * Restores the store from a backup, which loses all later writes.
     *
     * @param ageMs - age of the backup in milliseconds
     * @returns the keys whose values differ from before the restore
     */
    restoreBackup(ageMs: number): readonly string[] {
        const lost = this.#engine;
        const fromMs = this.clock.monotonicMs() - ageMs;
        const copy = this.#backups.findLast(({ atMs }) => atMs <= fromMs) ?? this.#backups[0];
        if (copy === undefined) {
            return [];
        }
        this.#engine = copy.engine.clone();
        this.#backups = this.#backups.filter(({ atMs }) => atMs <= copy.atMs);
        this.term++;
        this.notifyWatches();
        const nowMs = this.clock.monotonicMs();
        const keys = new Set([...lost.list("", nowMs), ...copy.engine.list("", nowMs)].map(({ key }) => key));
        // Revisions of different terms can't be compared, so values are.
        return [...keys].filter(key => lost.get(key, nowMs)?.value !== copy.engine.get(key, nowMs)?.value);
    }

    /** Number of faults so far; watches that were pending during one of them get no response. */
    get faultCount(): number {
        return this.#faultCount;
    }

    /** Starts a fault. Pending watches fail or get no response. */
    startFault(how: StoreFault): void {
        this.fault = how;
        this.#faultCount++;
        this.notifyWatches();
    }

    /** Makes all open connections dead for good, while new ones work. */
    silenceWatches(): void {
        this.#faultCount++;
    }

    /** Ends the fault. @param expireLeases - whether all leases have expired meanwhile */
    endFault(expireLeases: boolean): void {
        this.fault = undefined;
        if (expireLeases) {
            this.engine.expire(Infinity);
        }
        this.notifyWatches();
    }

    /** Writes as an operator or a backend server does. */
    put(key: string, value: unknown): void {
        const current = this.engine.get(key, this.clock.monotonicMs());
        this.engine.compareAndSwap(
            { key, expectedRevision: current?.modifiedRevision ?? 0, value: JSON.stringify(value) },
            this.clock.monotonicMs(),
        );
        this.notifyWatches();
    }

    /** Deletes a key as its owner does. */
    delete(key: string): void {
        const current = this.engine.get(key, this.clock.monotonicMs());
        const expectedRevision = current?.modifiedRevision ?? 0;
        this.engine.compareAndSwap({ key, expectedRevision, value: undefined }, this.clock.monotonicMs());
        this.notifyWatches();
    }

    /** The revision that a read which may be stale returns. */
    get staleReadRevision(): number {
        const untilMs = this.clock.monotonicMs() - this.stalenessMs;
        const past = this.stalenessMs > 0
            ? this.#revisions.findLast(({ atMs }) => atMs <= untilMs)?.revision
            : undefined;
        return this.pinnedReadRevision ?? past ?? this.engine.revision;
    }

    notifyWatches(): void {
        const { revision } = this.engine;
        if (this.#revisions.at(-1)?.revision !== revision) {
            const atMs = this.clock.monotonicMs();
            this.#revisions = [...this.#revisions.slice(-200), { atMs, revision }];
            const kept = this.#backups.filter(copy => atMs - copy.atMs <= maxBackupAgeMs);
            this.#backups = [...kept, { atMs, engine: this.engine.clone() }];
        }
        for (const listener of [...this.#listeners]) {
            listener();
        }
    }

    /** Calls a listener on each change. @returns a function that removes it */
    onChange(listener: () => void): () => void {
        this.#listeners.add(listener);
        return () => void this.#listeners.delete(listener);
    }
}

/** One gateway's link to a {@link FaultyStore}. */
export class FaultyStoreLink extends KeyValueStore {
    /** Whether the link is cut, so that calls get no response. */
    isCut = false;
    readonly #store: FaultyStore;
    readonly #term = new StoreTerm();

    constructor(store: FaultyStore) {
        super();
        this.#store = store;
    }

    override get term(): number {
        return this.#term.latest;
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return this.#call("reads", 1, nowMs => {
            const found = this.#store.engine.get(key, nowMs);
            return Right(found && this.#addTerm(found));
        });
    }

    override list(
        prefix: string,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        return this.#call("reads", 1, nowMs => {
            const entries = this.#store.engine.list(prefix, nowMs);
            return Right({ entries: entries.map(each => this.#addTerm(each)), revision: this.#position() });
        });
    }

    override peekRevision(): Promise<Either<Failure, number>> {
        return this.#call("reads", 0.1, () => Right(toPosition(this.#store.term, this.#store.staleReadRevision) ?? 0));
    }

    override compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        const { expectedRevision, leaseId } = req;
        if (expectedRevision > 0 && termOf(expectedRevision) < this.term) {
            return this.get(req.key).then(read => read.map(current => ({ swapped: false, current })));
        }
        const lease = leaseId?.split(":");
        if (lease !== undefined && Number(lease[0]) < this.term) {
            return Promise.resolve(Left(createFailure("notFound", "of before the store's return")));
        }
        return this.#call("writes", 1, nowMs => {
            const outcome = this.#store.engine.compareAndSwap(
                { ...req, expectedRevision: revisionOf(expectedRevision), leaseId: lease?.[1] },
                nowMs,
            );
            this.#store.notifyWatches();
            const terms = [expectedRevision > 0 ? termOf(expectedRevision) : undefined, lease && Number(lease[0])];
            if (terms.some(term => term !== undefined && term < this.#store.term)) {
                return Left(createFailure("storeOutcomeUnknown", "in a later term"));
            }
            return outcome.swapped
                ? Right({ swapped: true, revision: this.#position() })
                : Right({ swapped: false, current: outcome.current && this.#addTerm(outcome.current) });
        });
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#call("writes", 1, nowMs => {
            const { id } = this.#store.engine.grantLease(ttlMs, nowMs);
            return Right({ id: `${this.#store.term}:${id}`, ttlMs });
        });
    }

    override renewLease(id: string): Promise<Either<Failure, Lease>> {
        return this.#call("reads", 0.1, nowMs => {
            const [term, leaseId = ""] = id.split(":");
            const lease = Number(term) < this.#store.term
                ? undefined
                : this.#store.engine.renewLease(leaseId, nowMs);
            return lease === undefined ? Left(createFailure("notFound", id)) : Right({ ...lease, id });
        });
    }

    override revokeLease(id: string): Promise<Either<Failure, void>> {
        return this.#call("writes", 1, nowMs => {
            this.#store.engine.revokeLease(id.split(":")[1] ?? "", nowMs);
            return Right(undefined);
        });
    }

    override async watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>> {
        const { prefix, afterRevision, waitMs, slackMs, signal } = req;
        const watchedTerm = termOf(afterRevision);
        const lost = Left(createFailure("storeHistoryLost", "compacted"));
        if (watchedTerm < this.term) {
            return lost;
        }
        const plainRevision = revisionOf(afterRevision);
        if (plainRevision < this.#store.compactRevision || plainRevision > this.#store.engine.revision) {
            return await this.#call("reads", 1, () => lost);
        }
        const findChanges = (nowMs: number): WatchEvents => {
            const { engine, watchSnapshot = engine } = this.#store;
            const { changed, deleted, revision } = watchSnapshot.changesSince(prefix, plainRevision, nowMs);
            const position = toPosition(this.#store.term, revision) ?? 0;
            return {
                changed: changed.map(each => this.#addTerm(each)),
                deleted,
                revision: Math.max(afterRevision, position),
            };
        };
        const sentAtMs = this.#store.clock.monotonicMs();
        const first = await this.#call("reads", 1, nowMs => Right(findChanges(nowMs)), { signal, waitMs, slackMs });
        if (termOf(first.map(({ revision }) => revision).orDefault(afterRevision)) > watchedTerm) {
            return lost;
        }
        const isQuiet = first.map(events => events.changed.length + events.deleted.length === 0).orDefault(false);
        const untilMs = sentAtMs + waitMs;
        const events = isQuiet && waitMs > 0 && signal?.aborted !== true
            ? await this.#wait(findChanges, untilMs, slackMs, signal)
            : first;
        const answeredTerm = events.map(({ revision }) => termOf(revision)).orDefault(watchedTerm);
        this.#term.onAnswer(answeredTerm);
        return answeredTerm > watchedTerm ? lost : events;
    }

    #position(): number {
        return toPosition(this.#store.term, this.#store.engine.revision) ?? 0;
    }

    /** Adds the term to an entry's revision and lease ID, as the platform's client does. */
    #addTerm({ modifiedRevision, leaseId, ...entry }: KeyValue): KeyValue {
        return {
            ...entry,
            modifiedRevision: toPosition(this.#store.term, modifiedRevision) ?? 0,
            leaseId: leaseId === undefined ? undefined : `${this.#store.term}:${leaseId}`,
        };
    }

    #wait(
        findChanges: (nowMs: number) => WatchEvents,
        untilMs: number,
        slackMs: number | undefined,
        signal: AbortSignal | undefined,
    ): Promise<Either<Failure, WatchEvents>> {
        const store = this.#store;
        const { faultCount } = store;
        return new Promise(resolve => {
            const finish = (result: Either<Failure, WatchEvents>): void => {
                unsubscribe();
                clearTimeout(answerTimer);
                clearTimeout(lossTimer);
                resolve(result);
            };
            const isSilent = (): boolean => this.isCut || store.faultCount !== faultCount;
            const checkChanges = (): void => {
                if (store.fault === "reset" || store.fault === "refusing") {
                    finish(this.#fail(store.fault));
                    return;
                }
                const events = findChanges(store.clock.monotonicMs());
                if (!isSilent() && events.changed.length + events.deleted.length > 0) {
                    finish(Right(events));
                }
            };
            const unsubscribe = store.onChange(checkChanges);
            const nowMs = store.clock.monotonicMs();
            const answerTimer = setTimeout(() => {
                if (!isSilent()) {
                    finish(Right(findChanges(store.clock.monotonicMs())));
                }
            }, untilMs - nowMs);
            const lossTimer = setTimeout(
                () => finish(this.#fail("silent")),
                untilMs - nowMs + (slackMs ?? callTimeoutMs),
            );
            signal?.addEventListener("abort", () => finish(this.#fail("silent")), { once: true });
        });
    }

    /** Simulates a call and its response, with the store's fault at its start and the state of the link. */
    #call<T>(
        kind: "reads" | "writes",
        price: number,
        run: (nowMs: number) => Either<Failure, T>,
        { signal, waitMs = 0, slackMs = callTimeoutMs }: Partial<Pick<WatchRequest, "signal" | "waitMs" | "slackMs">> =
            {},
    ): Promise<Either<Failure, T>> {
        const store = this.#store;
        store.calls[kind]++;
        store.calls.cost += price;
        const { fault } = store;
        return new Promise(resolve => {
            const settle = (result: Either<Failure, T>): void => {
                clearTimeout(timer);
                resolve(result);
            };
            const isSilent = this.isCut || fault === "silent";
            const latencyMs = fault === "slow" ? slowLatencyMs : usualLatencyMs;
            const timer = isSilent
                ? setTimeout(() => settle(this.#fail("silent")), slackMs + waitMs)
                : setTimeout(() => {
                    if (this.isCut) {
                        setTimeout(() => settle(this.#fail("silent")), slackMs + waitMs);
                        return;
                    }
                    this.#term.onAnswer(store.term);
                    settle(
                        fault === undefined || fault === "slow"
                            ? run(store.clock.monotonicMs())
                            : this.#fail(fault),
                    );
                }, latencyMs * (0.5 + store.random.next()));
            signal?.addEventListener("abort", () => settle(this.#fail("silent")), { once: true });
        });
    }

    #fail(how: StoreFault): Either<Failure, never> {
        const kind = how === "silent"
            ? "storeOutcomeUnknown"
            : how === "refusing"
            ? "storeRateLimited"
            : "storeUnavailable";
        return Left(createFailure(kind, how));
    }
}
