import { shareCreditPeriodMs, idleExpiryMs, leaseMs, maxSnapshotWorkspaces, shareCreditMs } from "./constants.js";
import { bucketCapacity, LimitBucket } from "./limitBucket.js";
import {
    type LimitResponseMessage,
    type LimitRequestMessage,
    type LimitResponseEntry,
    protocolVersion,
} from "./messages.js";
import { type WorkspaceSnapshot } from "./model.js";
import { ShareHistory } from "./shareHistory.js";

/** A host that requests tokens from this allocator. */
interface Delegator {
    readonly incarnation: string;
    /** Incarnation of its previous process, whose late messages are ignored. */
    readonly previousIncarnation: string | undefined;
    seq: number;
    /** The response to the latest message, sent again if that message is retransmitted. */
    responseEntries: LimitResponseEntry[];
    share: number;
    leaseEndMs: number;
    lastSeenAtMs: number;
    lastCreditAtMs: number;
}

/** Identity of an allocator. */
export interface AllocatorOptions {
    readonly name: string;
    readonly incarnation: string;
    readonly group: number;
}

/** Grants the tokens of one group of workspaces, at a rate given by the shares that hosts have delegated to it. */
export class Allocator {
    readonly #name: string;
    readonly #group: number;
    #incarnation: string;
    #isShuttingDown = false;
    readonly #delegators = new Map<string, Delegator>();
    readonly #buckets = new Map<string, LimitBucket>();
    readonly #history: ShareHistory;
    /** Lower bound for the next end of a lease. */
    #nextLeaseEndAtMs = Infinity;
    #nextExpiryAtMs: number;

    constructor({ name, incarnation, group }: AllocatorOptions, nowMs: number) {
        this.#name = name;
        this.#incarnation = incarnation;
        this.#group = group;
        this.#history = new ShareHistory(nowMs);
        this.#nextExpiryAtMs = nowMs + idleExpiryMs;
    }

    /** Sum of the delegated shares. */
    get sharesHeld(): number {
        return this.#history.sum;
    }

    /** Number of hosts with a delegated share. */
    get delegators(): number {
        return [...this.#delegators.values()].filter(({ share }) => share > 0).length;
    }

    /** @returns the response to a message; `undefined` if the message is outdated */
    onRequest(request: LimitRequestMessage, nowMs: number): LimitResponseMessage | undefined {
        this.advance(nowMs);
        const delegator = this.#findDelegator(request);
        if (delegator === undefined || request.seq < delegator.seq) {
            return undefined;
        }
        delegator.lastSeenAtMs = nowMs;
        if (this.#isShuttingDown) {
            return { ...this.#createResponse(request, [], nowMs), leaving: true };
        }
        // A retransmitted message must not consume tokens again.
        if (request.seq > delegator.seq) {
            delegator.seq = request.seq;
            this.#updateLease(delegator, request, nowMs);
            delegator.responseEntries = this.#grantTokens(request, nowMs);
        }
        return this.#createResponse(request, delegator.responseEntries, nowMs);
    }

    /** Drops shares whose leases have ended, and expires idle state. */
    advance(nowMs: number): void {
        while (nowMs >= this.#nextLeaseEndAtMs) {
            const endMs = this.#nextLeaseEndAtMs;
            this.#history.advance(endMs);
            this.#nextLeaseEndAtMs = Infinity;
            let lapsed = false;
            for (const delegator of this.#delegators.values()) {
                if (delegator.share > 0 && delegator.leaseEndMs <= endMs) {
                    delegator.share = 0;
                    lapsed = true;
                }
                else if (delegator.share > 0) {
                    this.#nextLeaseEndAtMs = Math.min(this.#nextLeaseEndAtMs, delegator.leaseEndMs);
                }
            }
            if (lapsed) {
                this.#onSharesChanged();
            }
        }
        this.#history.advance(nowMs);
        this.#expireIdle(nowMs);
    }

    /**
     * Handles a suspension of this host that its monotonic clock doesn't show. Leases that seem valid may have ended,
     * and old messages may be waiting in the socket. With a new incarnation, none of these messages delegates a share.
     */
    onSuspended(incarnation: string, nowMs: number): void {
        this.#incarnation = incarnation;
        this.#dropShares(nowMs);
    }

    /** Drops all shares permanently. @returns the messages that notify their hosts */
    releaseShares(nowMs: number): readonly { readonly to: string; readonly message: LimitResponseMessage; }[] {
        this.advance(nowMs);
        const notified = [...this.#delegators].filter(([, { share }]) => share > 0);
        this.#isShuttingDown = true;
        this.#dropShares(nowMs);
        return notified.map(([to, { incarnation: life, seq }]) => ({
            to,
            message: { ...this.#createResponse({ life, seq }, [], nowMs), leaving: true },
        }));
    }

    /** @returns the most recently used workspaces; bounded */
    snapshot(): readonly WorkspaceSnapshot[] {
        return [...this.#buckets]
            .sort(([, a], [, b]) => b.lastUsedAtMs - a.lastUsedAtMs)
            .slice(0, maxSnapshotWorkspaces)
            .map(([workspace, { rule, level, granted, refused }]) => ({
                workspace,
                perSecond: rule.perSecond,
                level,
                capacity: bucketCapacity(rule, this.#history.sum),
                granted,
                refused,
            }));
    }

    #findDelegator({ sender, life }: LimitRequestMessage): Delegator | undefined {
        const known = this.#delegators.get(sender);
        if (known?.incarnation === life) {
            return known;
        }
        if (known?.previousIncarnation === life) {
            return undefined;
        }
        // Drops the share of the previous process, since the new process may delegate to another allocator.
        const delegator = {
            incarnation: life,
            previousIncarnation: known?.incarnation,
            seq: -1,
            responseEntries: [],
            share: 0,
            leaseEndMs: -Infinity,
            lastSeenAtMs: -Infinity,
            lastCreditAtMs: known?.lastCreditAtMs ?? -Infinity,
        };
        this.#delegators.set(sender, delegator);
        if (known !== undefined && known.share > 0) {
            this.#onSharesChanged();
        }
        return delegator;
    }

    /**
     * Starts or renews a lease. It is counted from a timestamp of this allocator that the host echoes, so that neither
     * a slow network nor a suspended process can extend it. A message without an echo delegates no share, since its age
     * is unknown.
     */
    #updateLease(delegator: Delegator, { echo, share }: LimitRequestMessage, nowMs: number): void {
        const leaseEndMs = echo?.life === this.#incarnation ? Math.min(echo.atMs, nowMs) + leaseMs : -Infinity;
        const before = delegator.share;
        delegator.share = leaseEndMs > nowMs ? share : 0;
        delegator.leaseEndMs = leaseEndMs;
        this.#nextLeaseEndAtMs = Math.min(this.#nextLeaseEndAtMs, delegator.share > 0 ? leaseEndMs : Infinity);
        if (delegator.share === before) {
            return;
        }
        this.#onSharesChanged();
        if (before === 0 && nowMs - delegator.lastCreditAtMs >= shareCreditPeriodMs) {
            delegator.lastCreditAtMs = nowMs;
            this.#history.addCredit(delegator.share * shareCreditMs);
        }
    }

    #grantTokens({ entries }: LimitRequestMessage, nowMs: number): LimitResponseEntry[] {
        return entries.map(({ wanted, givenBack, ...rule }) => {
            const bucket = this.#buckets.get(rule.workspace) ?? new LimitBucket(rule, this.#history, nowMs);
            this.#buckets.set(rule.workspace, bucket);
            bucket.updateRule(rule, this.#history);
            return bucket.take(wanted, givenBack, this.#history, nowMs);
        });
    }

    /**
     * Adjusts the buckets to the shares. Levels fall with them, since another allocator will soon grant these tokens.
     */
    #onSharesChanged(): void {
        let sum = 0;
        for (const { share } of this.#delegators.values()) {
            sum += share;
        }
        this.#updateBuckets();
        this.#history.setSum(sum);
        this.#updateBuckets();
    }

    #updateBuckets(): void {
        for (const bucket of this.#buckets.values()) {
            bucket.refill(this.#history);
        }
    }

    #dropShares(nowMs: number): void {
        this.#history.advance(nowMs);
        for (const delegator of this.#delegators.values()) {
            delegator.share = 0;
        }
        this.#nextLeaseEndAtMs = Infinity;
        this.#onSharesChanged();
    }

    #expireIdle(nowMs: number): void {
        if (nowMs < this.#nextExpiryAtMs) {
            return;
        }
        this.#nextExpiryAtMs = nowMs + idleExpiryMs;
        for (const [name, { lastSeenAtMs }] of this.#delegators) {
            if (nowMs - lastSeenAtMs >= idleExpiryMs) {
                this.#delegators.delete(name);
            }
        }
        for (const [workspace, bucket] of this.#buckets) {
            bucket.refill(this.#history);
            const isFull = bucket.level >= bucketCapacity(bucket.rule, this.#history.sum);
            if (nowMs - bucket.lastUsedAtMs >= idleExpiryMs && isFull) {
                this.#buckets.delete(workspace);
            }
        }
    }

    #createResponse(
        { life, seq }: Pick<LimitRequestMessage, "life" | "seq">,
        entries: LimitResponseEntry[],
        nowMs: number,
    ): LimitResponseMessage {
        return {
            v: protocolVersion,
            type: "answer",
            sender: this.#name,
            life: this.#incarnation,
            askerLife: life,
            seq,
            group: this.#group,
            // Whole milliseconds keep datagrams short; rounding down never extends a lease.
            atMs: Math.floor(nowMs),
            entries,
        };
    }
}
