import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type KeyValueEngine } from "../platform/keyValueEngine.js";
import { type VirtualClock } from "./virtualClock.js";

/** What becomes of one call of the store. */
export type StoreCallOutcome =
    | { readonly type: "answered"; readonly outMs: number; readonly backMs: number; }
    /** The request never arrives; the client's timeout says so. */
    | { readonly type: "requestLost"; readonly timeoutMs: number; }
    /** The call takes effect, and its answer never arrives. */
    | { readonly type: "answerLost"; readonly outMs: number; readonly timeoutMs: number; };

/** Decides the fate of each call; tests give one that draws from their seed and knows who is cut off. */
export type StoreCallOutcomeResolver = (client: string, nowMs: number) => StoreCallOutcome;

/** The store as decision-library tests see it: the engine behind delays, losses and outages, on virtual time. */
export class FakeStore {
    readonly #engine: KeyValueEngine;
    readonly #time: VirtualClock;
    readonly #fateOf: StoreCallOutcomeResolver;

    constructor(engine: KeyValueEngine, time: VirtualClock, fateOf: StoreCallOutcomeResolver) {
        this.#engine = engine;
        this.#time = time;
        this.#fateOf = fateOf;
    }

    /**
     * Makes one call.
     *
     * @param client - who calls
     * @param run - what the call does on the engine
     * @param answer - gets the result, or the failure that a client would see
     */
    call<T>(
        client: string,
        run: (engine: KeyValueEngine, nowMs: number) => T,
        answer: (result: Either<Failure, T>) => void,
    ): void {
        const fate = this.#fateOf(client, this.#time.nowMs);
        if (fate.type === "requestLost") {
            // The client can't tell a lost request from a lost answer, so both fail alike.
            this.#time.schedule(fate.timeoutMs, () => answer(Left(createFailure("storeOutcomeUnknown", "timeout"))));
            return;
        }
        this.#time.schedule(fate.outMs, () => {
            const result = run(this.#engine, this.#time.nowMs);
            if (fate.type === "answered") {
                this.#time.schedule(fate.backMs, () => answer(Right(result)));
                return;
            }
            this.#time.schedule(
                fate.timeoutMs - fate.outMs,
                () => answer(Left(createFailure("storeOutcomeUnknown", "timeout"))),
            );
        });
    }
}
