import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type ClaimEnd, createClaimDocumentKey, resolveClaimShard } from "./claimDocument.js";
import {
    type ClaimStoreReply,
    type ClaimCommand,
    type ClaimLimits,
    type ClaimRequest,
    type ClaimTime,
} from "./claimMessages.js";
import { ClaimShard } from "./claimShard.js";
import { type ShardCall } from "./shardCall.js";
import {
    claimStoreProbeDelayMs,
    claimBucketMs,
    claimRetainedBuckets,
    maxClaimDocumentLength,
    claimFailureThreshold,
    maxClaimCacheAgeMs,
    claimShardCount,
    claimValidityMs,
} from "./constants.js";

/** The limits that every gateway of a fleet uses. */
export const defaultClaimLimits: ClaimLimits = Object.freeze({
    shardCount: claimShardCount,
    bucketMs: claimBucketMs,
    retainedBuckets: claimRetainedBuckets,
    maxCacheAgeMs: maxClaimCacheAgeMs,
    validityMs: claimValidityMs,
    storeProbeDelayMs: claimStoreProbeDelayMs,
    failureThreshold: claimFailureThreshold,
    maxDocumentLength: maxClaimDocumentLength,
});

interface CallUnderWay {
    readonly shard: number;
    readonly call: ShardCall;
}

/**
 * Claims idempotency keys by compare-and-swap before their requests are sent. While a write of a shard is under way,
 * what arrives for that shard gathers, and all of it rides in the next write.
 */
export class ClaimBatcher {
    readonly #holder: string;
    readonly #limits: ClaimLimits;
    readonly #shards = new Map<number, ClaimShard>();
    readonly #shardOf = new Map<string, number>();
    readonly #underWay = new Map<number, CallUnderWay>();
    readonly #busyShards = new Set<number>();
    readonly #failures = new Map<number, number>();
    /** While the store is down: when to ask next whether it answers. */
    #askStoreAtMs: number | undefined;
    /** The call that asks. */
    #question: number | undefined;
    #callCount = 0;

    /**
     * @param holder - name and incarnation of this gateway, as written into its claims
     * @param limits - the fleet's numbers
     */
    constructor(holder: string, limits: ClaimLimits = defaultClaimLimits) {
        this.#holder = holder;
        this.#limits = limits;
    }

    /**
     * Asks for a key. A verdict, `claimed` or `refused`, follows in the result of this or a later call.
     *
     * @param req - the claim
     * @param time - the present time
     * @returns what to do
     */
    claim(req: ClaimRequest, time: ClaimTime): readonly ClaimCommand[] {
        const shard = resolveClaimShard(req.keyDigest, this.#limits.shardCount);
        this.#shardOf.set(req.nonce, shard);
        this.#shard(shard).add(req);
        return this.#pump(shard, time);
    }

    /**
     * Records the end of a claimed request. An end with `didRun: "no"` frees the key for another try.
     *
     * @param nonce - the claim's
     * @param end - how the request ended
     * @param time - the present time
     * @returns what to do
     */
    recordEnd(nonce: string, end: ClaimEnd, time: ClaimTime): readonly ClaimCommand[] {
        const shard = this.#shardOf.get(nonce);
        if (shard === undefined) {
            return [];
        }
        this.#shardOf.delete(nonce);
        this.#shard(shard).recordEnd(nonce, end);
        return this.#pump(shard, time);
    }

    /**
     * Takes in the answer to a `read` or `swap`.
     *
     * @param callId - the command's
     * @param answer - what the store answered, or why it did not
     * @param time - the present time
     * @returns what to do
     */
    onStoreReply(callId: number, answer: Either<Failure, ClaimStoreReply>, time: ClaimTime): readonly ClaimCommand[] {
        if (callId === this.#question) {
            return this.#storeAsked(answer.isRight(), time);
        }
        const underWay = this.#underWay.get(callId);
        if (underWay === undefined) {
            return [];
        }
        this.#underWay.delete(callId);
        this.#busyShards.delete(underWay.shard);
        const shard = this.#shard(underWay.shard);
        const failure = answer.caseOf<Failure | undefined>({
            Left: left => left,
            Right: right => shard.onReply(underWay.call, right, time),
        });
        if (failure === undefined) {
            this.#failures.delete(underWay.shard);
            this.#askStoreAtMs = undefined;
        }
        else {
            this.#failed(underWay.shard, failure, time);
        }
        return this.#pump(underWay.shard, time);
    }

    /**
     * Lets time pass: refuses what waited too long, and takes up again what a failure of the store interrupted.
     *
     * @param time - the present time
     * @returns what to do
     */
    tick(time: ClaimTime): readonly ClaimCommand[] {
        const commands = [...this.#shards.keys()].flatMap(shard => this.#pump(shard, time));
        if (this.#question === undefined && this.#askStoreAtMs !== undefined && this.#askStoreAtMs <= time.nowMs) {
            this.#question = ++this.#callCount;
            commands.push({ type: "read", callId: this.#question, keys: [createClaimDocumentKey(0, 0)] });
        }
        return commands;
    }

    /**
     * The gateway itself asks whether the store is back. Were a caller's claim sent to find out, that caller would
     * wait until the call times out, again and again through a long outage.
     */
    #storeAsked(answered: boolean, time: ClaimTime): readonly ClaimCommand[] {
        this.#question = undefined;
        this.#askStoreAtMs = answered ? undefined : time.nowMs + this.#limits.storeProbeDelayMs;
        return this.tick(time);
    }

    /** Whether nothing waits to be written; a planned stop waits for it, so that every end is recorded. */
    get isIdle(): boolean {
        return this.#underWay.size === 0 && [...this.#shards.values()].every(shard => shard.isIdle);
    }

    /** Whether {@link tick} has to be called. */
    get needsTick(): boolean {
        return !this.isIdle || this.#askStoreAtMs !== undefined;
    }

    /** One lost answer is borne, since the write may have taken effect; a store that is down fails the claims at once. */
    #failed(shard: number, failure: Failure, time: ClaimTime): void {
        const failures = (this.#failures.get(shard) ?? 0) + 1;
        this.#failures.set(shard, failures);
        if (failure.kind === "storeOutcomeUnknown" && failures < this.#limits.failureThreshold) {
            return;
        }
        this.#askStoreAtMs = time.nowMs + this.#limits.storeProbeDelayMs;
    }

    #pump(number: number, time: ClaimTime): readonly ClaimCommand[] {
        const shard = this.#shard(number);
        shard.refuseExpired(time.nowMs);
        const storeIsDown = this.#askStoreAtMs !== undefined;
        if (storeIsDown) {
            // Nothing was handed over, so the refusal is truthful; waiting for the store would spend the caller's
            // patience and end in the same refusal, later.
            shard.refuseWaiting(createFailure("storeUnavailable", "the idempotency key can't be claimed now"));
        }
        const commands: ClaimCommand[] = [];
        if (!storeIsDown && !this.#busyShards.has(number)) {
            const call = shard.nextCall(time);
            if (call !== undefined) {
                commands.push(this.#start(number, call));
            }
        }
        for (const verdict of shard.takeVerdicts()) {
            if (verdict.type === "refused") {
                this.#shardOf.delete(verdict.nonce);
            }
            commands.push(verdict);
        }
        return commands;
    }

    #start(shard: number, call: ShardCall): ClaimCommand {
        const callId = ++this.#callCount;
        this.#underWay.set(callId, { shard, call });
        this.#busyShards.add(shard);
        const keys = call.buckets.map(bucket => createClaimDocumentKey(bucket, shard));
        if (call.type === "read") {
            return { type: "read", callId, keys };
        }
        const [key = ""] = keys;
        return { type: "swap", callId, key, expectedRevision: call.expectedRevision, value: call.value };
    }

    #shard(number: number): ClaimShard {
        let shard = this.#shards.get(number);
        if (shard === undefined) {
            shard = new ClaimShard(this.#holder, this.#limits);
            this.#shards.set(number, shard);
        }
        return shard;
    }
}

/**
 * Says whether a claimed request may be handed over. Ask in the same turn in which the first byte is given to the
 * connection: a process that was paused in between acts on a claim that may have run out, while the caller has
 * already asked elsewhere.
 *
 * @param validUntilMs - from the `claimed` command
 * @param nowMs - the present monotonic time
 * @returns whether the claim still counts
 */
export function isClaimValid(validUntilMs: number, nowMs: number): boolean {
    return nowMs < validUntilMs;
}
