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
    readonly #sent = new Map<string, SentClaim>();
    readonly #held = new Map<string, ClaimLocation>();
    readonly #ends = new Map<string, PendingEnd>();
    #verdicts: ClaimVerdict[] = [];

    constructor(holder: string, limits: ClaimLimits) {
        this.#holder = holder;
        this.#limits = limits;
        this.#documents = new ClaimDocumentCache(limits);
    }

    /** Whether no claim is waiting or unconfirmed, and no end is still to be written. */
    get isIdle(): boolean {
        return this.#waiting.size === 0 && this.#ends.size === 0 && this.#sent.size === 0;
    }

    /** Queues a claim for the next write. */
    add(req: ClaimRequest): void {
        this.#waiting.set(req.nonce, { req, readBuckets: new Set(), firstSentAtMs: undefined });
    }

    /** Records the end of a held claim's request. */
    recordEnd(nonce: string, end: ClaimEnd): void {
        const place = this.#held.get(nonce);
        if (place !== undefined) {
            this.#held.delete(nonce);
            this.#ends.set(nonce, { ...place, end });
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
        return this.#nextForClaims(time) ?? this.#nextForEnds(time) ?? this.#nextFence() ?? this.#nextDeletion(time);
    }

    /** Handles the store's reply to a call. @returns the failure if the document is malformed */
    onReply(call: ShardCall, answer: ClaimStoreReply, now: ClaimTime): Failure | undefined {
        if (answer.type === "read") {
            return this.#readAnswered(call, answer.stored, now);
        }
        const [bucket = 0] = call.buckets;
        const stored = answer.type === "swapped" ? undefined : answer.stored;
        if (call.type === "delete" && stored === undefined) {
            this.#documents.delete(bucket);
            return undefined;
        }
        if (answer.type === "swapped") {
            this.#observe(call, bucket, answer.revision, call.document, now);
            return undefined;
        }
        return this.#observeStored(call, bucket, stored, now);
    }

    #readAnswered(
        call: ShardCall,
        stored: readonly (StoredClaims | undefined)[],
        now: ClaimTime,
    ): Failure | undefined {
        let failure: Failure | undefined;
        for (const [i, bucket] of call.buckets.entries()) {
            const seen = this.#documents.getOrEmpty(bucket);
            if (seen.revision > (stored[i]?.revision ?? 0)) {
                // Reads of the store may lag, but writes never do. If a stale copy that lacks a held claim were used,
                // the gateway would not record the claim's end, and the key would stay claimed.
                this.#observe(call, bucket, seen.revision, seen.document, now);
                continue;
            }
            failure = this.#observeStored(call, bucket, stored[i], now) ?? failure;
        }
        return failure;
    }

    #observeStored(
        call: ShardCall,
        bucket: number,
        stored: StoredClaims | undefined,
        now: ClaimTime,
    ): Failure | undefined {
        if (stored === undefined) {
            this.#observe(call, bucket, 0, emptyClaimDocument, now);
            return undefined;
        }
        return decodeClaimDocument(stored.value).caseOf<Failure | undefined>({
            Left: failure => failure,
            Right: document => {
                this.#observe(call, bucket, stored.revision, document, now);
                return undefined;
            },
        });
    }

    #nextForClaims(time: ClaimTime): ShardCall | undefined {
        if (this.#waiting.size === 0) {
            return undefined;
        }
        const open = this.#documents.openBucket(time);
        const missing = this.#findMissing(open, time);
        if (missing.length > 0) {
            return this.#read(missing);
        }
        for (let bucket = this.#documents.oldestBucket(time); bucket < open; bucket++) {
            // Without the seal, a gateway whose clock is behind could claim a key in an older bucket after this gateway
            // has checked it, and the key's request would run twice. A sealed document accepts no new claims.
            const { document } = this.#documents.getOrEmpty(bucket);
            if (!document.sealed) {
                return this.#swap(bucket, { ...document, sealed: true });
            }
        }
        return this.#nextBatch(open, time);
    }

    #findMissing(open: number, time: ClaimTime): readonly number[] {
        const missing: number[] = [];
        for (let bucket = this.#documents.oldestBucket(time); bucket < open; bucket++) {
            if (this.#documents.get(bucket) === undefined) {
                missing.push(bucket);
            }
        }
        const seen = this.#documents.get(open);
        if (seen === undefined || this.#documents.isStale(seen, time)) {
            missing.push(open);
        }
        return missing;
    }

    #nextBatch(open: number, time: ClaimTime): ShardCall | undefined {
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
                return this.#read([blocking.bucket]);
            }
            this.#refuse(nonce, createBlockedFailure(blocking.claim, waiting.req));
        }
        return batch.size === 0 ? undefined : this.#swapWithClaims(open, batch, time);
    }

    #swapWithClaims(open: number, batch: ReadonlyMap<string, WaitingClaim>, time: ClaimTime): ShardCall | undefined {
        const cached = this.#documents.getOrEmpty(open);
        const claims: Record<string, Claim> = { ...cached.document.claims };
        for (const { req } of batch.values()) {
            claims[req.keyDigest] = { fingerprint: req.fingerprint, nonce: req.nonce, holder: this.#holder };
        }
        const call = this.#swap(open, { ...cached.document, claims });
        if ((call.value ?? "").length > this.#limits.maxDocumentLength) {
            for (const { req } of batch.values()) {
                this.#refuse(req.nonce, createFailure("overloaded", "too many idempotency keys are remembered"));
            }
            return undefined;
        }
        for (const waiting of batch.values()) {
            const { keyDigest, nonce } = waiting.req;
            waiting.firstSentAtMs ??= time.nowMs;
            this.#sent.set(nonce, { bucket: open, keyDigest, expectedRevision: cached.revision });
        }
        return call;
    }

    #nextForEnds(time: ClaimTime): ShardCall | undefined {
        for (const [nonce, pending] of [...this.#ends]) {
            const cached = this.#documents.get(pending.bucket);
            if (cached !== undefined) {
                return this.#documents.isStale(cached, time)
                    ? this.#read([pending.bucket])
                    : this.#swap(pending.bucket, cached.document);
            }
            this.#ends.delete(nonce);
        }
        return undefined;
    }

    /**
     * Resolves a claim that was refused although its write may still take effect. Otherwise retries of the caller would
     * be refused for a day because their request seems to be in progress, and the return would be lost. Rewriting the
     * document unchanged either reveals the claim, so that it can be released, or makes the lost write fail.
     */
    #nextFence(): ShardCall | undefined {
        for (const [nonce, sent] of [...this.#sent]) {
            const cached = this.#documents.get(sent.bucket);
            if (cached !== undefined) {
                return this.#swap(sent.bucket, cached.document);
            }
            this.#sent.delete(nonce);
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

    #observe(call: ShardCall, bucket: number, revision: number, document: ClaimDocument, now: ClaimTime): void {
        this.#documents.set(bucket, { revision, document, readAtMs: now.nowMs });
        for (const nonce of call.waitingNonces) {
            this.#waiting.get(nonce)?.readBuckets.add(bucket);
        }
        for (const [nonce, sent] of [...this.#sent]) {
            if (sent.bucket === bucket && revision > sent.expectedRevision) {
                this.#settle(nonce, sent, document, now);
            }
        }
        for (const [nonce, pending] of [...this.#ends]) {
            const claim = document.claims[pending.keyDigest];
            if (pending.bucket === bucket && (claim?.nonce !== nonce || claim.end !== undefined)) {
                this.#ends.delete(nonce);
            }
        }
    }

    /** Confirms or rules out a claim's write, once the document is past the revision that the write expected. */
    #settle(nonce: string, sent: SentClaim, document: ClaimDocument, now: ClaimTime): void {
        this.#sent.delete(nonce);
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

    #read(buckets: readonly number[]): ShardCall {
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
    #swap(bucket: number, document: ClaimDocument): ShardCall {
        const claims: Record<string, Claim> = { ...document.claims };
        for (const [nonce, pending] of this.#ends) {
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
