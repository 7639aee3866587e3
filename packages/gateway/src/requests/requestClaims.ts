import {
    ClaimBatcher,
    type ClaimStoreReply,
    type ClaimCommand,
    type ClaimEnd,
    type ClaimTime,
    isClaimValid,
} from "@galenaglade/at-most-once";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { createHash, randomUUID } from "node:crypto";
import { Either, Left, Right } from "purify-ts";
import { type Clock, type RequestBody } from "@galenaglade/http-parts";
import { claimCheckPeriodMs } from "../constants.js";
import { type CallerRequest } from "./callerRequest.js";

/** Dependencies of {@link RequestClaims}. */
export interface RequestClaimsDeps {
    readonly store: KeyValueStore;
    /** This gateway's id as `name/incarnation`, stored as the holder of its claims. */
    readonly holder: string;
    readonly clock: Clock;
}

/** A claimed idempotency key, which allows one non-idempotent request to be sent. */
export interface HeldClaim {
    readonly nonce: string;
    /** Must be called in the same event loop turn as the request is sent. */
    mayStillSend(): boolean;
}

type Settle = (result: Either<Failure, HeldClaim>) => void;
type StoreCommand = Extract<ClaimCommand, { readonly callId: number; }>;

/** Claims callers' idempotency keys in the platform's store before requests are sent. */
export class RequestClaims {
    readonly #deps: RequestClaimsDeps;
    readonly #batcher: ClaimBatcher;
    readonly #waiting = new Map<string, Settle>();
    #timer: NodeJS.Timeout | undefined;
    #onIdle: (() => void) | undefined;

    /** @param deps - dependencies; the caller stays responsible for closing the store */
    constructor(deps: RequestClaimsDeps) {
        this.#deps = deps;
        this.#batcher = new ClaimBatcher(deps.holder);
    }

    /**
     * Claims a request's idempotency key.
     *
     * @param request - a non-idempotent request
     * @param idempotencyKey - the key that the caller sent
     * @param body - the request's body
     * @returns the claim, or why the request must not be sent
     */
    claim(request: CallerRequest, idempotencyKey: string, body: RequestBody): Promise<Either<Failure, HeldClaim>> {
        const nonce = randomUUID();
        return new Promise(resolve => {
            this.#waiting.set(nonce, resolve);
            this.#startTimer();
            this.#run(this.#batcher.claim({
                nonce,
                keyDigest: digest(request.route.service.name, idempotencyKey),
                fingerprint: createFingerprint(request, body),
                deadlineMs: request.deadlineMs,
            }, this.#now()));
        });
    }

    /** Records the result of a claimed request in the store. Retries while the store is unavailable. */
    end(claim: HeldClaim, end: ClaimEnd): void {
        this.#startTimer();
        this.#run(this.#batcher.recordEnd(claim.nonce, end, this.#now()));
    }

    /** @returns once every result is recorded; used by the planned stop */
    whenIdle(): Promise<void> {
        if (this.#batcher.isIdle) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#onIdle = resolve;
        });
    }

    /** Stops the timer. Results that are not recorded by then stay unknown. */
    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    #run(commands: readonly ClaimCommand[]): void {
        for (const command of commands) {
            if (command.type === "claimed") {
                this.#settle(command.nonce, Right(this.#createHeldClaim(command.nonce, command.validUntilMs)));
            }
            else if (command.type === "refused") {
                this.#settle(command.nonce, Left(command.failure));
            }
            else {
                void this.#callStore(command);
            }
        }
        if (this.#batcher.isIdle) {
            this.#onIdle?.();
        }
        if (!this.#batcher.needsTick) {
            this.stop();
        }
    }

    async #callStore(command: StoreCommand): Promise<void> {
        const answer = await this.#send(command).catch((err: unknown) =>
            Left(createFailure("storeOutcomeUnknown", String(err)))
        );
        this.#run(this.#batcher.onStoreReply(command.callId, answer, this.#now()));
    }

    async #send(command: StoreCommand): Promise<Either<Failure, ClaimStoreReply>> {
        const { store } = this.#deps;
        if (command.type === "read") {
            const found = await Promise.all(command.keys.map(key => store.get(key)));
            return Either.sequence(found).map(entries => ({ type: "read", stored: entries.map(toStoredValue) }));
        }
        const { key, expectedRevision, value } = command;
        return (await store.compareAndSwap({ key, expectedRevision, value })).map(outcome =>
            outcome.swapped
                ? { type: "swapped", revision: outcome.revision }
                : { type: "notSwapped", stored: toStoredValue(outcome.current) }
        );
    }

    #createHeldClaim(nonce: string, validUntilMs: number): HeldClaim {
        return { nonce, mayStillSend: () => isClaimValid(validUntilMs, this.#deps.clock.monotonicMs()) };
    }

    #settle(nonce: string, result: Either<Failure, HeldClaim>): void {
        this.#waiting.get(nonce)?.(result);
        this.#waiting.delete(nonce);
    }

    #startTimer(): void {
        this.#timer ??= setInterval(() => this.#run(this.#batcher.tick(this.#now())), claimCheckPeriodMs);
    }

    #now(): ClaimTime {
        const { clock } = this.#deps;
        return { nowMs: clock.monotonicMs(), epochMs: clock.epochMs() };
    }
}

function toStoredValue(
    found: KeyValue | undefined,
): { readonly value: string; readonly revision: number; } | undefined {
    return found === undefined ? undefined : { value: found.value, revision: found.modifiedRevision };
}

/** Hashes the parts, separated by a NUL byte, which occurs in none of them. */
function digest(...parts: readonly string[]): string {
    return createHash("sha256").update(parts.join("\0")).digest("hex").slice(0, 32);
}

/** A streamed body isn't known when the key is claimed, so its declared length is used in its place. */
function createFingerprint(request: CallerRequest, body: RequestBody): string {
    const content = body.buffered === undefined
        ? String(request.bodyBytes)
        : createHash("sha256").update(body.buffered).digest("hex");
    return digest(request.method, request.url, content);
}
