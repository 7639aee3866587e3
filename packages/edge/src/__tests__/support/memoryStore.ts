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
import { KeyValueEngine } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";

/** In-memory store with a watch that waits for changes, and faults that the test turns on and off. */
export class MemoryStore extends KeyValueStore {
    /** Whether every call fails. */
    isDown = false;
    /** Whether calls get no response. */
    isHanging = false;
    /** Whether the next watch fails because its history is compacted; reset by that watch. */
    historyLost = false;
    calls = 0;
    /** Number of entries that a list passes on as its first part, also if the call then hangs or fails. */
    firstPartKeyCount: number | undefined;
    #held: Promise<void> = Promise.resolve();
    readonly #engine = new KeyValueEngine();
    readonly #waiting = new Set<() => void>();

    /** Writes as an operator or a backend server does, regardless of faults. */
    put(key: string, value: unknown): void {
        const current = this.#engine.get(key, performance.now());
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#swap({ key, expectedRevision: current?.modifiedRevision ?? 0, value: text });
    }

    remove(key: string): void {
        const current = this.#engine.get(key, performance.now());
        this.#swap({ key, expectedRevision: current?.modifiedRevision ?? 0, value: undefined });
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return this.#call(() => this.#engine.get(key, performance.now()));
    }

    override list(
        prefix: string,
        onPart?: (entries: readonly KeyValue[]) => void,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        if (this.firstPartKeyCount !== undefined) {
            onPart?.(this.#engine.list(prefix, performance.now()).slice(0, this.firstPartKeyCount));
        }
        return this.#call(() => ({
            entries: this.#engine.list(prefix, performance.now()),
            revision: this.#engine.revision,
        }));
    }

    override compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        return this.#call(() => this.#swap(req));
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#call(() => this.#engine.grantLease(ttlMs, performance.now()));
    }

    override async renewLease(id: string): Promise<Either<Failure, Lease>> {
        const renewed = await this.#call(() => this.#engine.renewLease(id, performance.now()));
        return renewed.chain(lease => lease === undefined ? Left(createFailure("notFound", id)) : Right(lease));
    }

    override revokeLease(id: string): Promise<Either<Failure, void>> {
        return this.#call(() => this.#engine.revokeLease(id, performance.now()));
    }

    override async watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>> {
        if (this.historyLost) {
            this.historyLost = false;
            return Left(createFailure("storeHistoryLost", "compacted"));
        }
        const first = await this.#call(() => this.#changes(req));
        const isQuiet = first.map(seen => seen.changed.length + seen.deleted.length === 0).orDefault(false);
        if (!isQuiet) {
            return first;
        }
        await this.#nextChange(req);
        return await this.#call(() => this.#changes(req));
    }

    #changes({ prefix, afterRevision }: WatchRequest): WatchEvents {
        return this.#engine.changesSince(prefix, afterRevision, performance.now());
    }

    #nextChange({ waitMs, signal }: WatchRequest): Promise<void> {
        return new Promise(resolve => {
            const done = (): void => {
                clearTimeout(timer);
                this.#waiting.delete(done);
                resolve();
            };
            const timer = setTimeout(done, waitMs);
            this.#waiting.add(done);
            signal?.addEventListener("abort", done, { once: true });
        });
    }

    #swap(req: CompareAndSwap): SwapOutcome {
        const outcome = this.#engine.compareAndSwap(req, performance.now());
        for (const wake of [...this.#waiting]) {
            wake();
        }
        return outcome;
    }

    /** Holds back the responses of calls from now on. @returns a function that releases them */
    holdCalls(): () => void {
        let release: () => void = () => undefined;
        this.#held = new Promise(resolve => {
            release = resolve;
        });
        return release;
    }

    async #call<T>(run: () => T): Promise<Either<Failure, T>> {
        this.calls++;
        if (this.isHanging) {
            return new Promise(() => undefined);
        }
        await this.#held;
        return await Promise.resolve(this.isDown ? Left(createFailure("storeUnavailable", "down")) : Right(run()));
    }
}
