import { createFailure, type Failure } from "@galenaglade/errors";
import { createBlockedFailure } from "./createBlockedFailure.js";
import {
    type Claim,
    type ClaimDocument,
    type ClaimEnd,
    decodeClaimDocument,
    emptyClaimDocument,
    encodeClaimDocument,
} from "./claimDocument.js";
import { ClaimDocumentCache } from "./claimDocumentCache.js";
import {
    type ClaimStoreReply,
    type ClaimLimits,
    type ClaimRequest,
    type ClaimTime,
    type StoredClaims,
} from "./claimMessages.js";
import {
    type ClaimLocation,
    type ClaimVerdict,
    type PendingEnd,
    type SentClaim,
    type ShardCall,
    type WaitingClaim,
} from "./shardCall.js";

/** One gateway's state of the claims of one shard: waiting and held claims, and cached documents. */
export class ClaimShard {
    readonly #holder: string;
    readonly #limits: ClaimLimits;
    readonly #documents: ClaimDocumentCache;
    readonly #waiting = new Map<string, WaitingClaim>();
    /** Claims whose write was sent and has not been confirmed or ruled out yet. */
    readonly #sentClaims = new Map<string, SentClaim>();
    readonly #held = new Map<string, ClaimLocation>();
    readonly #pendingEnds = new Map<string, PendingEnd>();
    #verdicts: ClaimVerdict[] = [];

    constructor(holder: string, limits: ClaimLimits) {
        this.#holder = holder;
        this.#limits = limits;
        this.#documents = new ClaimDocumentCache(limits);
    }

    /** Whether no claim is waiting or unconfirmed, and no end is still to be written. */
    get isIdle(): boolean {
        return this.#waiting.size === 0 && this.#pendingEnds.size === 0 && this.#sentClaims.size === 0;
    }

    /** Queues a claim for the next write. */
    add(req: ClaimRequest): void {
        this.#waiting.set(req.nonce, { req, readBuckets: new Set(), firstSentAtMs: undefined });
    }

    /** Records the end of a held claim's request. */
    recordEnd(nonce: string, end: ClaimEnd): void {
        const location = this.#held.get(nonce);
        if (location !== undefined) {
            this.#held.delete(nonce);
            this.#pendingEnds.set(nonce, { ...location, end });
        }
    }

    /** @returns the verdicts since the last call */
    takeVerdicts(): readonly ClaimVerdict[] {
        const verdicts = this.#verdicts;
        this.#verdicts = [];
        return verdicts;
    }

    /** Refuses all waiting claims. Those whose write may still take effect are tracked and then released. */
    refuseWaiting(failure: Failure): void {
        for (const nonce of [...this.#waiting.keys()]) {
            this.#refuse(nonce, failure);
        }
    }

    /** Refuses waiting claims that are past their deadline. */
    refuseExpired(nowMs: number): void {
        for (const [nonce, waiting] of [...this.#waiting]) {
            if (waiting.req.deadlineMs <= nowMs) {
                this.#refuse(nonce, createFailure("patienceSpent", "idempotency key not claimed in time"));
            }
        }
    }

    /**
     * @param time - current time
     * @returns the next store call, or `undefined` if none is due
     */
    nextCall(time: ClaimTime): ShardCall | undefined {
        return this.#nextClaimCall(time) ?? this.#nextEndCall(time) ?? this.#nextRewrite() ?? this.#nextDeletion(time);
    }

    /** Handles the store's reply to a call. @returns the failure if the document is malformed */
    onReply(call: ShardCall, reply: ClaimStoreReply, now: ClaimTime): Failure | undefined {
        if (reply.type === "read") {
            return this.#onReadReply(call, reply.stored, now);
        }
        const [bucket = 0] = call.buckets;
        const stored = reply.type === "swapped" ? undefined : reply.stored;
        if (call.type === "delete" && stored === undefined) {
            this.#documents.delete(bucket);
            return undefined;
        }
        if (reply.type === "swapped") {
            this.#updateDocument(call, bucket, reply.revision, call.document, now);
            return undefined;
        }
        return this.#updateFromStore(call, bucket, stored, now);
    }

    #onReadReply(
        call: ShardCall,
        stored: readonly (StoredClaims | undefined)[],
        now: ClaimTime,
    ): Failure | undefined {
        let failure: Failure | undefined;
        for (const [i, bucket] of call.buckets.entries()) {
            const cached = this.#documents.getOrEmpty(bucket);
            if (cached.revision > (stored[i]?.revision ?? 0)) {
                // Reads of the store may lag, but writes never do. If a stale copy that lacks a held claim were used,
                // the gateway would not record the claim's end, and the key would stay claimed.
                this.#updateDocument(call, bucket, cached.revision, cached.document, now);
                continue;
            }
            failure = this.#updateFromStore(call, bucket, stored[i], now) ?? failure;
        }
        return failure;
    }

    #updateFromStore(
        call: ShardCall,
        bucket: number,
        stored: StoredClaims | undefined,
        now: ClaimTime,
    ): Failure | undefined {
        if (stored === undefined) {
            this.#updateDocument(call, bucket, 0, emptyClaimDocument, now);
            return undefined;
        }
        return decodeClaimDocument(stored.value).caseOf<Failure | undefined>({
            Left: failure => failure,
            Right: document => {
                this.#updateDocument(call, bucket, stored.revision, document, now);
                return undefined;
            },
        });
    }

    #nextClaimCall(time: ClaimTime): ShardCall | undefined {
        if (this.#waiting.size === 0) {
            return undefined;
        }
        const openBucket = this.#documents.openBucket(time);
        const missing = this.#findBucketsToRead(openBucket, time);
        if (missing.length > 0) {
            return this.#createRead(missing);
        }
        for (let bucket = this.#documents.oldestBucket(time); bucket < openBucket; bucket++) {
            // Without the seal, a gateway whose clock is behind could claim a key in an older bucket after this gateway
            // has checked it, and the key's request would run twice. A sealed document accepts no new claims.
            const { document } = this.#documents.getOrEmpty(bucket);
            if (!document.sealed) {
                return this.#createSwap(bucket, { ...document, sealed: true });
            }
        }
        return this.#nextBatchCall(openBucket, time);
    }

    #findBucketsToRead(openBucket: number, time: ClaimTime): readonly number[] {
        const missing: number[] = [];
        for (let bucket = this.#documents.oldestBucket(time); bucket < openBucket; bucket++) {
            if (this.#documents.get(bucket) === undefined) {
                missing.push(bucket);
            }
        }
        const cached = this.#documents.get(openBucket);
        if (cached === undefined || this.#documents.isStale(cached, time)) {
            missing.push(openBucket);
        }
        return missing;
    }

    #nextBatchCall(openBucket: number, time: ClaimTime): ShardCall | undefined {
        const batch = new Map<string, WaitingClaim>();
        for (const waiting of [...this.#waiting.values()]) {
            const { keyDigest, nonce } = waiting.req;
            if (batch.has(keyDigest)) {
                continue;
            }
            const blocking = this.#documents.findBlocking(keyDigest);
            if (blocking === undefined) {
                batch.set(keyDigest, waiting);
                continue;
            }
            // The cached claim may have ended since, so a refusal requires a read made after the request arrived.
            if (!waiting.readBuckets.has(blocking.bucket)) {
                return this.#createRead([blocking.bucket]);
            }
            this.#refuse(nonce, createBlockedFailure(blocking.claim, waiting.req));
        }
        return batch.size === 0 ? undefined : this.#createClaimSwap(openBucket, batch, time);
    }

    #createClaimSwap(
        openBucket: number,
        batch: ReadonlyMap<string, WaitingClaim>,
        time: ClaimTime,
    ): ShardCall | undefined {
        const cached = this.#documents.getOrEmpty(openBucket);
        const claims: Record<string, Claim> = { ...cached.document.claims };
        for (const { req } of batch.values()) {
            claims[req.keyDigest] = { fingerprint: req.fingerprint, nonce: req.nonce, holder: this.#holder };
        }
        const call = this.#createSwap(openBucket, { ...cached.document, claims });
        if ((call.value ?? "").length > this.#limits.maxDocumentLength) {
            for (const { req } of batch.values()) {
                this.#refuse(req.nonce, createFailure("overloaded", "too many idempotency keys are remembered"));
            }
            return undefined;
        }
        for (const waiting of batch.values()) {
            const { keyDigest, nonce } = waiting.req;
            waiting.firstSentAtMs ??= time.nowMs;
            this.#sentClaims.set(nonce, { bucket: openBucket, keyDigest, expectedRevision: cached.revision });
        }
        return call;
    }

    #nextEndCall(time: ClaimTime): ShardCall | undefined {
        for (const [nonce, pending] of [...this.#pendingEnds]) {
            const cached = this.#documents.get(pending.bucket);
            if (cached !== undefined) {
                return this.#documents.isStale(cached, time)
                    ? this.#createRead([pending.bucket])
                    : this.#createSwap(pending.bucket, cached.document);
            }
            this.#pendingEnds.delete(nonce);
        }
        return undefined;
    }

    /**
     * Resolves a claim that was refused although its write may still take effect. Otherwise retries of the caller would
     * be refused for a day because their request seems to be in progress, and the return would be lost. Rewriting the
     * document unchanged either reveals the claim, so that it can be released, or makes the lost write fail.
     */
    #nextRewrite(): ShardCall | undefined {
        for (const [nonce, sent] of [...this.#sentClaims]) {
            const cached = this.#documents.get(sent.bucket);
            if (cached !== undefined) {
                return this.#createSwap(sent.bucket, cached.document);
            }
            this.#sentClaims.delete(nonce);
        }
        return undefined;
    }

    #nextDeletion(time: ClaimTime): ShardCall | undefined {
        const bucket = this.#documents.findExpired(time);
        if (bucket === undefined) {
            return undefined;
        }
        const { revision, document } = this.#documents.getOrEmpty(bucket);
        return {
            type: "delete",
            buckets: [bucket],
            expectedRevision: revision,
            document,
            value: undefined,
            waitingNonces: [],
        };
    }

    #updateDocument(call: ShardCall, bucket: number, revision: number, document: ClaimDocument, now: ClaimTime): void {
        this.#documents.set(bucket, { revision, document, readAtMs: now.nowMs });
        for (const nonce of call.waitingNonces) {
            this.#waiting.get(nonce)?.readBuckets.add(bucket);
        }
        for (const [nonce, sent] of [...this.#sentClaims]) {
            if (sent.bucket === bucket && revision > sent.expectedRevision) {
                this.#resolveSentClaim(nonce, sent, document, now);
            }
        }
        for (const [nonce, pending] of [...this.#pendingEnds]) {
            const claim = document.claims[pending.keyDigest];
            if (pending.bucket === bucket && (claim?.nonce !== nonce || claim.end !== undefined)) {
                this.#pendingEnds.delete(nonce);
            }
        }
    }

    /** Confirms or rules out a claim's write, once the document is past the revision that the write expected. */
    #resolveSentClaim(nonce: string, sent: SentClaim, document: ClaimDocument, now: ClaimTime): void {
        this.#sentClaims.delete(nonce);
        const waiting = this.#waiting.get(nonce);
        // If the write took effect but its reply was lost, the gateway must recognize its own claim. Otherwise the
        // caller would be told that its request is in progress although it never runs.
        if (document.claims[sent.keyDigest]?.nonce !== nonce) {
            return;
        }
        this.#held.set(nonce, sent);
        if (waiting === undefined) {
            this.recordEnd(nonce, { didRun: "no" });
            return;
        }
        this.#waiting.delete(nonce);
        const validUntilMs = (waiting.firstSentAtMs ?? now.nowMs) + this.#limits.validityMs;
        this.#verdicts.push({ type: "claimed", nonce, validUntilMs });
    }

    #refuse(nonce: string, failure: Failure): void {
        this.#waiting.delete(nonce);
        this.#verdicts.push({ type: "refused", nonce, failure });
    }

    #createRead(buckets: readonly number[]): ShardCall {
        return {
            type: "read",
            buckets,
            expectedRevision: 0,
            document: emptyClaimDocument,
            value: undefined,
            waitingNonces: [...this.#waiting.keys()],
        };
    }

    /** Creates a write of a document, which includes the pending ends of its claims. */
    #createSwap(bucket: number, document: ClaimDocument): ShardCall {
        const claims: Record<string, Claim> = { ...document.claims };
        for (const [nonce, pending] of this.#pendingEnds) {
            const claim = claims[pending.keyDigest];
            if (pending.bucket === bucket && claim?.nonce === nonce) {
                claims[pending.keyDigest] = { ...claim, end: pending.end };
            }
        }
        const written = { ...document, claims };
        return {
            type: "swap",
            buckets: [bucket],
            expectedRevision: this.#documents.getOrEmpty(bucket).revision,
            document: written,
            value: encodeClaimDocument(written),
            waitingNonces: [...this.#waiting.keys()],
        };
    }
}
