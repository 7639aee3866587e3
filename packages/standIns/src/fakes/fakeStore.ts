import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type KeyValueEngine } from "../platform/keyValueEngine.js";
import { type VirtualClock } from "./virtualClock.js";

/** Simulated outcome of one store call, with delays in milliseconds. */
export type StoreCallOutcome =
    | { readonly type: "answered"; readonly outMs: number; readonly backMs: number; }
    /** The request never arrives; the client's call times out. */
    | { readonly type: "requestLost"; readonly timeoutMs: number; }
    /** The call takes effect, but its response never arrives and the client's call times out. */
    | { readonly type: "answerLost"; readonly outMs: number; readonly timeoutMs: number; };

/** Decides the outcome of each call; tests draw it from their seed and the simulated network partitions. */
export type StoreCallOutcomeResolver = (client: string, nowMs: number) => StoreCallOutcome;

/** A store for library tests: a {@link KeyValueEngine} with simulated delays, losses and outages in virtual time. */
export class FakeStore {
    readonly #engine: KeyValueEngine;
    readonly #time: VirtualClock;
    readonly #resolveOutcome: StoreCallOutcomeResolver;

    constructor(engine: KeyValueEngine, time: VirtualClock, resolveOutcome: StoreCallOutcomeResolver) {
        this.#engine = engine;
        this.#time = time;
        this.#resolveOutcome = resolveOutcome;
    }

    /**
     * Makes one call.
     *
     * @param client - name of the calling client
     * @param run - performs the call on the engine
     * @param onResult - receives the result, or the failure that a client would get
     */
    call<T>(
        client: string,
        run: (engine: KeyValueEngine, nowMs: number) => T,
        onResult: (result: Either<Failure, T>) => void,
    ): void {
        const outcome = this.#resolveOutcome(client, this.#time.nowMs);
        if (outcome.type === "requestLost") {
            // A client can't distinguish a lost request from a lost response, so both fail with the same error.
            this.#time.schedule(
                outcome.timeoutMs,
                () => onResult(Left(createFailure("storeOutcomeUnknown", "timeout"))),
            );
            return;
        }
        this.#time.schedule(outcome.outMs, () => {
            const result = run(this.#engine, this.#time.nowMs);
            if (outcome.type === "answered") {
                this.#time.schedule(outcome.backMs, () => onResult(Right(result)));
                return;
            }
            this.#time.schedule(
                outcome.timeoutMs - outcome.outMs,
                () => onResult(Left(createFailure("storeOutcomeUnknown", "timeout"))),
            );
        });
    }
}
