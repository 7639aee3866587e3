import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type Claim,
    type ClaimDocument,
    type ClaimEnd,
    decodeClaimDocument,
    emptyClaimDocument,
    encodeClaimDocument,
} from "./claimDocument.js";
import {
    type ClaimCallAnswer,
    type ClaimLimits,
    type ClaimRequest,
    type ClaimTime,
    type StoredClaims,
} from "./claimMessages.js";

/** One call that a shard wants made; a shard has at most one under way. */
export interface ShardCall {
    readonly type: "read" | "swap" | "delete";
    readonly bucket: number;
    readonly expectedRevision: number;
    /** What a swap writes. */
    readonly document: ClaimDocument;
    readonly value: string | undefined;
    /** Claims that waited when the call was made; the answer is fresh for them. */
    readonly witnesses: readonly string[];
}

/** What became of a claim. */
export type ClaimVerdict =
    | { readonly type: "claimed"; readonly nonce: string; readonly validUntilMs: number; }
    | { readonly type: "refused"; readonly nonce: string; readonly failure: Failure; };

interface CachedDocument {
    readonly revision: number;
    readonly document: ClaimDocument;
    /** Monotonic time at which the store's answer came. */
    readonly seenMs: number;
}

interface WaitingClaim {
    readonly req: ClaimRequest;
    /** Buckets read since the claim arrived. */
    readonly verified: Set<number>;
    firstSentMs: number | undefined;
}

interface ClaimPlace {
    readonly bucket: number;
    readonly keyDigest: string;
}

interface SentClaim extends ClaimPlace {
    readonly expectedRevision: number;
}

interface PendingEnd extends ClaimPlace {
    readonly end: ClaimEnd;
}

interface BlockingClaim {
    readonly bucket: number;
    readonly claim: Claim;
}

/** The claims of one shard as one gateway sees them: which wait, which are held, and what the store last held. */
export class ClaimShard {
    readonly #holder: string;
    readonly #limits: ClaimLimits;
    readonly #documents = new Map<number, CachedDocument>();
    readonly #waiting = new Map<string, WaitingClaim>();
    /** Claims whose write was sent and of which it isn't known yet whether it took effect. */
    readonly #sent = new Map<string, SentClaim>();
    readonly #held = new Map<string, ClaimPlace>();
    readonly #ends = new Map<string, PendingEnd>();
    #verdicts: ClaimVerdict[] = [];

    constructor(holder: string, limits: ClaimLimits) {
        this.#holder = holder;
        this.#limits = limits;
    }

    /** Whether no claim waits and no end is still to be written. */
    get isIdle(): boolean {
        return this.#waiting.size === 0 && this.#ends.size === 0 && this.#sent.size === 0;
    }

    /** Adds a claim to those that wait for the next write. */
    add(req: ClaimRequest): void {
        this.#waiting.set(req.nonce, { req, verified: new Set(), firstSentMs: undefined });
    }

    /** Notes how a held claim's request ended. */
    end(nonce: string, end: ClaimEnd): void {
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

    /** Refuses every claim that waits; writes that may yet take effect are followed up and released. */
    refuseWaiting(failure: Failure): void {
        for (const nonce of [...this.#waiting.keys()]) {
            this.#refuse(nonce, failure);
        }
    }

    /** Refuses claims that waited for as long as their caller allows. */
    refuseLate(nowMs: number): void {
        for (const [nonce, waiting] of [...this.#waiting]) {
            if (waiting.req.giveUpAtMs <= nowMs) {
                this.#refuse(nonce, createFailure("patienceSpent", "idempotency key not claimed in time"));
            }
        }
    }

    /**
     * @param time - the present time
     * @returns the next call of the store, or `undefined` where nothing is to be done
     */
    next(time: ClaimTime): ShardCall | undefined {
        return this.#nextForClaims(time) ?? this.#nextForEnds(time) ?? this.#nextFence() ?? this.#nextDeletion(time);
    }

    /** Takes in the store's answer to a call. */
    answered(call: ShardCall, answer: ClaimCallAnswer, now: ClaimTime): Failure | undefined {
        if (answer.type === "swapped") {
            if (call.type === "delete") {
                this.#documents.delete(call.bucket);
                return undefined;
            }
            this.#observe(call, answer.revision, call.document, now);
            return undefined;
        }
        if (call.type === "delete" && answer.stored === undefined) {
            this.#documents.delete(call.bucket);
            return undefined;
        }
        return this.#observeStored(call, answer.stored, now);
    }

    #observeStored(call: ShardCall, stored: StoredClaims | undefined, now: ClaimTime): Failure | undefined {
        const cached = this.#documents.get(call.bucket);
        if (call.type === "read" && cached !== undefined && cached.revision > (stored?.revision ?? 0)) {
            // The store's reads may lag, while its writes never do. Taken for the present, an old copy without a
            // claim that is held would make the gateway forget to record its end, and the key would stay taken.
            this.#observe(call, cached.revision, cached.document, now);
            return undefined;
        }
        if (stored === undefined) {
            this.#observe(call, 0, emptyClaimDocument, now);
            return undefined;
        }
        return decodeClaimDocument(stored.value).caseOf<Failure | undefined>({
            Left: failure => failure,
            Right: document => {
                this.#observe(call, stored.revision, document, now);
                return undefined;
            },
        });
    }

    #nextForClaims(time: ClaimTime): ShardCall | undefined {
        if (this.#waiting.size === 0) {
            return undefined;
        }
        const open = this.#openBucket(time);
        for (let bucket = open - this.#limits.bucketsKept; bucket < open; bucket++) {
            const cached = this.#documents.get(bucket);
            if (cached === undefined) {
                return this.#read(bucket);
            }
            // Without the seal a gateway whose clock is behind could claim a key in an older bucket after this one
            // has looked there, and the key's request would run twice. A sealed document takes no new claim.
            if (!cached.document.sealed) {
                return this.#swap(bucket, { ...cached.document, sealed: true });
            }
        }
        const cached = this.#documents.get(open);
        if (cached === undefined || this.#isStale(cached, time)) {
            return this.#read(open);
        }
        return this.#nextBatch(open, time);
    }

    #nextBatch(open: number, time: ClaimTime): ShardCall | undefined {
        const batch = new Map<string, WaitingClaim>();
        for (const waiting of [...this.#waiting.values()]) {
            const { keyDigest, nonce } = waiting.req;
            if (batch.has(keyDigest)) {
                continue;
            }
            const blocking = this.#findBlocking(keyDigest);
            if (blocking === undefined) {
                batch.set(keyDigest, waiting);
                continue;
            }
            // What is cached may have ended since; a caller is told so only after a read made since it asked.
            if (!waiting.verified.has(blocking.bucket)) {
                return this.#read(blocking.bucket);
            }
            this.#refuse(nonce, createBlockedFailure(blocking.claim, waiting.req));
        }
        return batch.size === 0 ? undefined : this.#swapWithClaims(open, batch, time);
    }

    #swapWithClaims(open: number, batch: ReadonlyMap<string, WaitingClaim>, time: ClaimTime): ShardCall | undefined {
        const cached = this.#cached(open);
        const claims: Record<string, Claim> = { ...cached.document.claims };
        for (const { req } of batch.values()) {
            claims[req.keyDigest] = { fingerprint: req.fingerprint, nonce: req.nonce, holder: this.#holder };
        }
        const call = this.#swap(open, { ...cached.document, claims });
        if ((call.value ?? "").length > this.#limits.documentCharacters) {
            for (const { req } of batch.values()) {
                this.#refuse(req.nonce, createFailure("overloaded", "too many idempotency keys are remembered"));
            }
            return undefined;
        }
        for (const waiting of batch.values()) {
            const { keyDigest, nonce } = waiting.req;
            waiting.firstSentMs ??= time.nowMs;
            this.#sent.set(nonce, { bucket: open, keyDigest, expectedRevision: cached.revision });
        }
        return call;
    }

    #nextForEnds(time: ClaimTime): ShardCall | undefined {
        for (const [nonce, pending] of [...this.#ends]) {
            const cached = this.#documents.get(pending.bucket);
            if (cached !== undefined) {
                return this.#isStale(cached, time)
                    ? this.#read(pending.bucket)
                    : this.#swap(pending.bucket, cached.document);
            }
            this.#ends.delete(nonce);
        }
        return undefined;
    }

    /**
     * A claim was given up while the answer to its write was lost: should the write yet take effect, the caller's
     * next try would be told for a day that its request is under way, and the return would be lost. Writing the
     * document once more unchanged shows the claim, so that it can be released, or makes the lost write fail.
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
        const oldest = this.#openBucket(time) - this.#limits.bucketsKept;
        for (const [bucket, cached] of this.#documents) {
            if (bucket < oldest) {
                const { revision, document } = cached;
                return {
                    type: "delete",
                    bucket,
                    expectedRevision: revision,
                    document,
                    value: undefined,
                    witnesses: [],
                };
            }
        }
        return undefined;
    }

    /**
     * Another gateway has probably written the document since: a write on this revision would be spent in vain, and
     * the store takes ten times as many reads as writes.
     */
    #isStale(cached: CachedDocument, time: ClaimTime): boolean {
        return time.nowMs - cached.seenMs > this.#limits.freshMs;
    }

    #openBucket(time: ClaimTime): number {
        let open = Math.floor(time.epochMs / this.#limits.bucketMs);
        for (const [bucket, cached] of this.#documents) {
            // Buckets never go back, neither for a clock that does nor for one that is behind the others'.
            open = Math.max(open, cached.document.sealed ? bucket + 1 : bucket);
        }
        return open;
    }

    #findBlocking(keyDigest: string): BlockingClaim | undefined {
        for (const [bucket, cached] of this.#documents) {
            const claim = cached.document.claims[keyDigest];
            // A claim blocks until its request is known not to have run. Its holder's death frees nothing: the
            // request may be running, and a second try would file the return twice.
            if (claim !== undefined && claim.end?.didRun !== "no") {
                return { bucket, claim };
            }
        }
        return undefined;
    }

    #observe(call: ShardCall, revision: number, document: ClaimDocument, now: ClaimTime): void {
        const bucket = call.bucket;
        this.#documents.set(bucket, { revision, document, seenMs: now.nowMs });
        for (const nonce of call.witnesses) {
            this.#waiting.get(nonce)?.verified.add(bucket);
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

    /** The document has moved past the revision on which the claim was written: it is there now, or never will be. */
    #settle(nonce: string, sent: SentClaim, document: ClaimDocument, now: ClaimTime): void {
        this.#sent.delete(nonce);
        const waiting = this.#waiting.get(nonce);
        // An answer that was lost after the write took effect must not make a gateway refuse its own claim: the
        // caller would be told that its request is under way while nobody runs it.
        if (document.claims[sent.keyDigest]?.nonce !== nonce) {
            return;
        }
        this.#held.set(nonce, sent);
        if (waiting === undefined) {
            this.end(nonce, { didRun: "no" });
            return;
        }
        this.#waiting.delete(nonce);
        const validUntilMs = (waiting.firstSentMs ?? now.nowMs) + this.#limits.validityMs;
        this.#verdicts.push({ type: "claimed", nonce, validUntilMs });
    }

    #refuse(nonce: string, failure: Failure): void {
        this.#waiting.delete(nonce);
        this.#verdicts.push({ type: "refused", nonce, failure });
    }

    #cached(bucket: number): CachedDocument {
        return this.#documents.get(bucket) ?? { revision: 0, document: emptyClaimDocument, seenMs: 0 };
    }

    #read(bucket: number): ShardCall {
        return {
            type: "read",
            bucket,
            expectedRevision: 0,
            document: emptyClaimDocument,
            value: undefined,
            witnesses: [...this.#waiting.keys()],
        };
    }

    /** Every write of a document carries the ends that are due in it. */
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
            bucket,
            expectedRevision: this.#cached(bucket).revision,
            document: written,
            value: encodeClaimDocument(written),
            witnesses: [...this.#waiting.keys()],
        };
    }
}

function createBlockedFailure(claim: Claim, req: ClaimRequest): Failure {
    if (claim.fingerprint !== req.fingerprint) {
        return createFailure("idempotencyKeyMismatch", "the idempotency key belongs to another request");
    }
    if (claim.end === undefined) {
        return createFailure("idempotencyKeyInUse", "the request was accepted and its end isn't known");
    }
    const status = claim.end.status === undefined ? "" : ` with status ${claim.end.status}`;
    return createFailure("idempotencyKeyEnded", `the request has ended${status}`, { didRun: claim.end.didRun });
}
