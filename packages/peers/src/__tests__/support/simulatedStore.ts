import { createFailure, type Failure } from "@galenaglade/errors";
import { storeKeys } from "@galenaglade/membership";
import {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "@galenaglade/platform";
import { type FakeStore, type KeyValueEngine, type VirtualClock } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";
import { type SimulatedProcess } from "./simulatedProcess.js";

/** Interval at which a waiting watch polls for changes, in milliseconds. */
const watchPollIntervalMs = 250;

/** Faults of the store that affect all processes. */
export interface StoreFaults {
    /** Earlier state of the store from which plain reads are served. */
    staleEngine: KeyValueEngine | undefined;
    /** Watches that start now never get a response. */
    silentWatches: boolean;
    /** The next write of the head takes effect, but its response is lost. */
    losesNextHeadResponse: boolean;
}

/** Client of the store in one simulated process. */
export class SimulatedStore extends KeyValueStore {
    readonly #process: SimulatedProcess;
    readonly #store: FakeStore;
    readonly #engine: KeyValueEngine;
    readonly #time: VirtualClock;
    readonly #faults: StoreFaults;
    readonly #onSwap: (req: CompareAndSwap, swapped: boolean) => void;

    constructor(
        process: SimulatedProcess,
        store: FakeStore,
        engine: KeyValueEngine,
        time: VirtualClock,
        faults: StoreFaults,
        onSwap: (req: CompareAndSwap, swapped: boolean) => void,
    ) {
        super();
        this.#process = process;
        this.#store = store;
        this.#engine = engine;
        this.#time = time;
        this.#faults = faults;
        this.#onSwap = onSwap;
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return this.#call(nowMs => this.#readEngine().get(key, nowMs));
    }

    override list(
        prefix: string,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        return this.#call(nowMs => {
            const entries = this.#readEngine().list(prefix, nowMs);
            return { revision: this.#readEngine().revision, entries };
        });
    }

    override async compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        const swap = await this.#call(nowMs => {
            const outcome = this.#engine.compareAndSwap(req, nowMs);
            this.#onSwap(req, outcome.swapped);
            return { outcome, lost: outcome.swapped && this.#losesResponse(req) };
        });
        return swap.chain(({ outcome, lost }) =>
            lost ? Left(createFailure("storeOutcomeUnknown", "timeout")) : Right(outcome)
        );
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#call(nowMs => this.#engine.grantLease(ttlMs, nowMs));
    }

    override async renewLease(id: string): Promise<Either<Failure, Lease>> {
        const renewed = await this.#call(nowMs => this.#engine.renewLease(id, nowMs));
        return renewed.chain(lease => lease === undefined ? Left(createFailure("notFound", "lapsed")) : Right(lease));
    }

    override revokeLease(id: string): Promise<Either<Failure, void>> {
        return this.#call(nowMs => this.#engine.revokeLease(id, nowMs));
    }

    override watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>> {
        if (this.#faults.silentWatches) {
            return new Promise(() => undefined);
        }
        const untilMs = this.#time.nowMs + req.waitMs;
        return new Promise(resolve => {
            const poll = (): void => {
                const events = this.#engine.changesSince(req.prefix, req.afterRevision, this.#time.nowMs);
                if (events.changed.length > 0 || this.#time.nowMs >= untilMs) {
                    void this.#call(() => events).then(resolve);
                    return;
                }
                this.#time.schedule(watchPollIntervalMs, poll);
            };
            poll();
        });
    }

    #losesResponse(req: CompareAndSwap): boolean {
        if (!this.#faults.losesNextHeadResponse || req.key !== storeKeys.head || req.value === undefined) {
            return false;
        }
        this.#faults.losesNextHeadResponse = false;
        return true;
    }

    #readEngine(): KeyValueEngine {
        return this.#faults.staleEngine ?? this.#engine;
    }

    #call<T>(run: (nowMs: number) => T): Promise<Either<Failure, T>> {
        return new Promise(resolve => {
            this.#store.call(
                this.#process.name,
                (_engine, nowMs) => run(nowMs),
                result => this.#process.run(() => resolve(result)),
            );
        });
    }
}
