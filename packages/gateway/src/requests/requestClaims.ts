import {
    ClaimBatcher,
    type ClaimCallAnswer,
    type ClaimCommand,
    type ClaimEnd,
    type ClaimTime,
    mayHandOver,
} from "@galenaglade/at-most-once";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { createHash, randomUUID } from "node:crypto";
import { Either, Left, Right } from "purify-ts";
import { type Clock, type RequestBody } from "@galenaglade/http-parts";
import { claimCheckPeriodMs } from "../constants.js";
import { type CallerRequest } from "./callerRequest.js";

/** What claims are made with. */
export interface RequestClaimsDeps {
    readonly store: KeyValueStore;
    /** Name and incarnation of this gateway. */
    readonly holder: string;
    readonly clock: Clock;
}

/** Leave to send one non-idempotent request under its idempotency key. */
export interface HeldClaim {
    readonly nonce: string;
    /** Asked in the same turn in which the request is handed over. */
    mayStillSend(): boolean;
}

type Settle = (result: Either<Failure, HeldClaim>) => void;
type StoreCommand = Extract<ClaimCommand, { readonly callId: number; }>;

/** Claims callers' idempotency keys in the platform's store before their requests are sent. */
export class RequestClaims {
    readonly #parts: RequestClaimsDeps;
    readonly #batcher: ClaimBatcher;
    readonly #waiting = new Map<string, Settle>();
    #timer: NodeJS.Timeout | undefined;
    #onIdle: (() => void) | undefined;

    /** @param parts - the store stays the maker's to close */
    constructor(parts: RequestClaimsDeps) {
        this.#parts = parts;
        this.#batcher = new ClaimBatcher(parts.holder);
    }

    /**
     * Claims a request's key.
     *
     * @param request - a non-idempotent request
     * @param idempotencyKey - its caller's key
     * @param body - its body
     * @returns the claim, or why the request must not be sent
     */
    claim(request: CallerRequest, idempotencyKey: string, body: RequestBody): Promise<Either<Failure, HeldClaim>> {
        const nonce = randomUUID();
        return new Promise(resolve => {
            this.#waiting.set(nonce, resolve);
            this.#startTicking();
            this.#run(this.#batcher.claim({
                nonce,
                keyDigest: digest(request.route.service.name, idempotencyKey),
                fingerprint: createFingerprint(request, body),
                giveUpAtMs: request.deadlineMs,
            }, this.#now()));
        });
    }

    /** Records how a claimed request ended; goes on trying while the store is down. */
    end(claim: HeldClaim, end: ClaimEnd): void {
        this.#startTicking();
        this.#run(this.#batcher.end(claim.nonce, end, this.#now()));
    }

    /** @returns once every end is recorded, for the planned stop */
    whenIdle(): Promise<void> {
        if (this.#batcher.isIdle) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#onIdle = resolve;
        });
    }

    /** Ends its timer; what is not recorded by now stays unknown. */
    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    #run(commands: readonly ClaimCommand[]): void {
        for (const command of commands) {
            if (command.type === "claimed") {
                this.#settle(command.nonce, Right(this.#createHeld(command.nonce, command.validUntilMs)));
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
        if (!this.#batcher.needsTicks) {
            this.stop();
        }
    }

    async #callStore(command: StoreCommand): Promise<void> {
        const answer = await this.#send(command).catch((err: unknown) =>
            Left(createFailure("storeOutcomeUnknown", String(err)))
        );
        this.#run(this.#batcher.answered(command.callId, answer, this.#now()));
    }

    async #send(command: StoreCommand): Promise<Either<Failure, ClaimCallAnswer>> {
        const { store } = this.#parts;
        if (command.type === "read") {
            const found = await Promise.all(command.keys.map(key => store.get(key)));
            return Either.sequence(found).map(entries => ({ type: "read", stored: entries.map(toStored) }));
        }
        const { key, expectedRevision, value } = command;
        return (await store.compareAndSwap({ key, expectedRevision, value })).map(outcome =>
            outcome.swapped
                ? { type: "swapped", revision: outcome.revision }
                : { type: "notSwapped", stored: toStored(outcome.current) }
        );
    }

    #createHeld(nonce: string, validUntilMs: number): HeldClaim {
        return { nonce, mayStillSend: () => mayHandOver(validUntilMs, this.#parts.clock.monotonicMs()) };
    }

    #settle(nonce: string, result: Either<Failure, HeldClaim>): void {
        this.#waiting.get(nonce)?.(result);
        this.#waiting.delete(nonce);
    }

    #startTicking(): void {
        this.#timer ??= setInterval(() => this.#run(this.#batcher.tick(this.#now())), claimCheckPeriodMs);
    }

    #now(): ClaimTime {
        const { clock } = this.#parts;
        return { nowMs: clock.monotonicMs(), epochMs: clock.epochMs() };
    }
}

function toStored(found: KeyValue | undefined): { readonly value: string; readonly revision: number; } | undefined {
    return found === undefined ? undefined : { value: found.value, revision: found.modifiedRevision };
}

/** The parts are set apart by a byte that none of them holds. */
function digest(...parts: readonly string[]): string {
    return createHash("sha256").update(parts.join("\0")).digest("hex").slice(0, 32);
}

/** A body that is streamed is not known when the claim is made; its declared length stands for it. */
function createFingerprint(request: CallerRequest, body: RequestBody): string {
    const content = body.buffered === undefined
        ? String(request.bodyBytes)
        : createHash("sha256").update(body.buffered).digest("hex");
    return digest(request.method, request.url, content);
}
