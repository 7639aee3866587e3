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

/** Limits that all gateways of a fleet use. */
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

interface CallInFlight {
    readonly shard: number;
    readonly call: ShardCall;
}

/**
 * Claims idempotency keys by compare-and-swap before their requests are sent. Claims and ends that arrive while a write
 * of their shard is in flight are batched into the next write.
 */
export class ClaimBatcher {
    readonly #holder: string;
    readonly #limits: ClaimLimits;
    readonly #shards = new Map<number, ClaimShard>();
    readonly #shardByNonce = new Map<string, number>();
    readonly #callsInFlight = new Map<number, CallInFlight>();
    readonly #busyShards = new Set<number>();
    readonly #consecutiveFailures = new Map<number, number>();
    /** Time of the next probe of the store; `undefined` while the store is available. */
    #nextProbeAtMs: number | undefined;
    /** Id of the probe call in flight, if any. */
    #probeCallId: number | undefined;
    #lastCallId = 0;

    /**
     * @param holder - name and incarnation of this gateway, as written into its claims
     * @param limits - limits of the fleet
     */
    constructor(holder: string, limits: ClaimLimits = defaultClaimLimits) {
        this.#holder = holder;
        this.#limits = limits;
    }

    /**
     * Claims a key. The verdict, `claimed` or `refused`, is among the commands that this or a later call returns.
     *
     * @param req - the requested claim
     * @param time - current time
     * @returns commands to execute
     */
    claim(req: ClaimRequest, time: ClaimTime): readonly ClaimCommand[] {
        const shard = resolveClaimShard(req.keyDigest, this.#limits.shardCount);
        this.#shardByNonce.set(req.nonce, shard);
        this.#getShard(shard).add(req);
        return this.#advance(shard, time);
    }

    /**
     * Records the end of a claimed request. An end with `didRun: "no"` releases the key for another attempt.
     *
     * @param nonce - nonce of the claim
     * @param end - how the request ended
     * @param time - current time
     * @returns commands to execute
     */
    recordEnd(nonce: string, end: ClaimEnd, time: ClaimTime): readonly ClaimCommand[] {
        const shard = this.#shardByNonce.get(nonce);
        if (shard === undefined) {
            return [];
        }
        this.#shardByNonce.delete(nonce);
        this.#getShard(shard).recordEnd(nonce, end);
        return this.#advance(shard, time);
    }

    /**
     * Handles the store's reply to a `read` or `swap`.
     *
     * @param callId - id of the command
     * @param reply - the reply, or why there is none
     * @param time - current time
     * @returns commands to execute
     */
    onStoreReply(callId: number, reply: Either<Failure, ClaimStoreReply>, time: ClaimTime): readonly ClaimCommand[] {
        if (callId === this.#probeCallId) {
            return this.#onProbeReply(reply.isRight(), time);
        }
        const callInFlight = this.#callsInFlight.get(callId);
        if (callInFlight === undefined) {
            return [];
        }
        this.#callsInFlight.delete(callId);
        this.#busyShards.delete(callInFlight.shard);
        const shard = this.#getShard(callInFlight.shard);
        const failure = reply.caseOf<Failure | undefined>({
            Left: left => left,
            Right: right => shard.onReply(callInFlight.call, right, time),
        });
        if (failure === undefined) {
            this.#consecutiveFailures.delete(callInFlight.shard);
            this.#nextProbeAtMs = undefined;
        }
        else {
            this.#onCallFailed(callInFlight.shard, failure, time);
        }
        return this.#advance(callInFlight.shard, time);
    }

    /**
     * Refuses claims past their deadline, and resumes work that a failure of the store interrupted.
     *
     * @param time - current time
     * @returns commands to execute
     */
    tick(time: ClaimTime): readonly ClaimCommand[] {
        const commands = [...this.#shards.keys()].flatMap(shard => this.#advance(shard, time));
        if (this.#probeCallId === undefined && this.#nextProbeAtMs !== undefined && this.#nextProbeAtMs <= time.nowMs) {
            this.#probeCallId = ++this.#lastCallId;
            commands.push({ type: "read", callId: this.#probeCallId, keys: [createClaimDocumentKey(0, 0)] });
        }
        return commands;
    }

    /**
     * Handles the result of a probe. The gateway probes the store itself: if callers' claims were used for that, one
     * caller after another would wait for a timeout throughout a long outage.
     */
    #onProbeReply(isAvailable: boolean, time: ClaimTime): readonly ClaimCommand[] {
        this.#probeCallId = undefined;
        this.#nextProbeAtMs = isAvailable ? undefined : time.nowMs + this.#limits.storeProbeDelayMs;
        return this.tick(time);
    }

    /** Whether no write is pending; a planned stop waits for this, so that every end is recorded. */
    get isIdle(): boolean {
        return this.#callsInFlight.size === 0 && [...this.#shards.values()].every(shard => shard.isIdle);
    }

    /** Whether {@link tick} must be called. */
    get needsTick(): boolean {
        return !this.isIdle || this.#nextProbeAtMs !== undefined;
    }

    /** Tolerates one lost reply, since the write may have taken effect; if the store is down, claims fail at once. */
    #onCallFailed(shard: number, failure: Failure, time: ClaimTime): void {
        const failures = (this.#consecutiveFailures.get(shard) ?? 0) + 1;
        this.#consecutiveFailures.set(shard, failures);
        if (failure.kind === "storeOutcomeUnknown" && failures < this.#limits.failureThreshold) {
            return;
        }
        this.#nextProbeAtMs = time.nowMs + this.#limits.storeProbeDelayMs;
    }

    #advance(shardNumber: number, time: ClaimTime): readonly ClaimCommand[] {
        const shard = this.#getShard(shardNumber);
        shard.refuseExpired(time.nowMs);
        const storeIsDown = this.#nextProbeAtMs !== undefined;
        if (storeIsDown) {
            // Nothing was sent to a backend server, so it is true that the request did not run. Waiting for the store
            // would use up the caller's patience and end in the same refusal.
            shard.refuseWaiting(createFailure("storeUnavailable", "the idempotency key can't be claimed now"));
        }
        const commands: ClaimCommand[] = [];
        if (!storeIsDown && !this.#busyShards.has(shardNumber)) {
            const call = shard.nextCall(time);
            if (call !== undefined) {
                commands.push(this.#startCall(shardNumber, call));
            }
        }
        for (const verdict of shard.takeVerdicts()) {
            if (verdict.type === "refused") {
                this.#shardByNonce.delete(verdict.nonce);
            }
            commands.push(verdict);
        }
        return commands;
    }

    #startCall(shard: number, call: ShardCall): ClaimCommand {
        const callId = ++this.#lastCallId;
        this.#callsInFlight.set(callId, { shard, call });
        this.#busyShards.add(shard);
        const keys = call.buckets.map(bucket => createClaimDocumentKey(bucket, shard));
        if (call.type === "read") {
            return { type: "read", callId, keys };
        }
        const [key = ""] = keys;
        return { type: "swap", callId, key, expectedRevision: call.expectedRevision, value: call.value };
    }

    #getShard(shardNumber: number): ClaimShard {
        let shard = this.#shards.get(shardNumber);
        if (shard === undefined) {
            shard = new ClaimShard(this.#holder, this.#limits);
            this.#shards.set(shardNumber, shard);
        }
        return shard;
    }
}

/**
 * Checks whether a claimed request may still be sent. Must be called in the same event loop turn in which the first
 * byte is written: a process that was paused in between would act on an expired claim, while the caller may already
 * have retried through another gateway.
 *
 * @param validUntilMs - from the `claimed` command
 * @param nowMs - current monotonic time
 * @returns whether the claim is still valid
 */
export function isClaimValid(validUntilMs: number, nowMs: number): boolean {
    return nowMs < validUntilMs;
}
