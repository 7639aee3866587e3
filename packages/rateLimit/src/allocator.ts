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
    readonly life: string;
    /** Incarnation of its previous process, whose late messages are ignored. */
    readonly formerLife: string | undefined;
    seq: number;
    /** The response to the latest message, sent again if that message is retransmitted. */
    entries: LimitResponseEntry[];
    share: number;
    leaseEndMs: number;
    heardAtMs: number;
    creditedAtMs: number;
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
    #life: string;
    #isLeaving = false;
    readonly #delegators = new Map<string, Delegator>();
    readonly #buckets = new Map<string, LimitBucket>();
    readonly #history: ShareHistory;
    /** Lower bound for the next end of a lease. */
    #nextLeaseEndMs = Infinity;
    #nextForgetMs: number;

    constructor({ name, incarnation, group }: AllocatorOptions, nowMs: number) {
        this.#name = name;
        this.#life = incarnation;
        this.#group = group;
        this.#history = new ShareHistory(nowMs);
        this.#nextForgetMs = nowMs + idleExpiryMs;
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
    onRequest(ask: LimitRequestMessage, nowMs: number): LimitResponseMessage | undefined {
        this.advance(nowMs);
        const delegator = this.#find(ask);
        if (delegator === undefined || ask.seq < delegator.seq) {
            return undefined;
        }
        delegator.heardAtMs = nowMs;
        if (this.#isLeaving) {
            return { ...this.#createAnswer(ask, [], nowMs), leaving: true };
        }
        // A retransmitted message must not consume tokens again.
        if (ask.seq > delegator.seq) {
            delegator.seq = ask.seq;
            this.#hold(delegator, ask, nowMs);
            delegator.entries = this.#grant(ask, nowMs);
        }
        return this.#createAnswer(ask, delegator.entries, nowMs);
    }

    /** Drops shares whose leases have ended, and expires idle state. */
    advance(nowMs: number): void {
        while (nowMs >= this.#nextLeaseEndMs) {
            const endMs = this.#nextLeaseEndMs;
            this.#history.advance(endMs);
            this.#nextLeaseEndMs = Infinity;
            let lapsed = false;
            for (const delegator of this.#delegators.values()) {
                if (delegator.share > 0 && delegator.leaseEndMs <= endMs) {
                    delegator.share = 0;
                    lapsed = true;
                }
                else if (delegator.share > 0) {
                    this.#nextLeaseEndMs = Math.min(this.#nextLeaseEndMs, delegator.leaseEndMs);
                }
            }
            if (lapsed) {
                this.#onShares();
            }
        }
        this.#history.advance(nowMs);
        this.#forget(nowMs);
    }

    /**
     * Handles a suspension of this host that its monotonic clock doesn't show. Leases that seem valid may have ended,
     * and old messages may be waiting in the socket. With a new incarnation, none of these messages delegates a share.
     */
    onSuspended(life: string, nowMs: number): void {
        this.#life = life;
        this.#dropShares(nowMs);
    }

    /** Drops all shares permanently. @returns the messages that notify their hosts */
    releaseShares(nowMs: number): readonly { readonly to: string; readonly message: LimitResponseMessage; }[] {
        this.advance(nowMs);
        const told = [...this.#delegators].filter(([, { share }]) => share > 0);
        this.#isLeaving = true;
        this.#dropShares(nowMs);
        return told.map(([to, { life, seq }]) => ({
            to,
            message: { ...this.#createAnswer({ life, seq }, [], nowMs), leaving: true },
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

    #find({ sender, life }: LimitRequestMessage): Delegator | undefined {
        const known = this.#delegators.get(sender);
        if (known?.life === life) {
            return known;
        }
        if (known?.formerLife === life) {
            return undefined;
        }
        // Drops the share of the previous process, since the new process may delegate to another allocator.
        const delegator = {
            life,
            formerLife: known?.life,
            seq: -1,
            entries: [],
            share: 0,
            leaseEndMs: -Infinity,
            heardAtMs: -Infinity,
            creditedAtMs: known?.creditedAtMs ?? -Infinity,
        };
        this.#delegators.set(sender, delegator);
        if (known !== undefined && known.share > 0) {
            this.#onShares();
        }
        return delegator;
    }

    /**
     * Starts or renews a lease. It is counted from a timestamp of this allocator that the host echoes, so that neither
     * a slow network nor a suspended process can extend it. A message without an echo delegates no share, since its age
     * is unknown.
     */
    #hold(delegator: Delegator, { echo, share }: LimitRequestMessage, nowMs: number): void {
        const leaseEndMs = echo?.life === this.#life ? Math.min(echo.atMs, nowMs) + leaseMs : -Infinity;
        const before = delegator.share;
        delegator.share = leaseEndMs > nowMs ? share : 0;
        delegator.leaseEndMs = leaseEndMs;
        this.#nextLeaseEndMs = Math.min(this.#nextLeaseEndMs, delegator.share > 0 ? leaseEndMs : Infinity);
        if (delegator.share === before) {
            return;
        }
        this.#onShares();
        if (before === 0 && nowMs - delegator.creditedAtMs >= shareCreditPeriodMs) {
            delegator.creditedAtMs = nowMs;
            this.#history.addCredit(delegator.share * shareCreditMs);
        }
    }

    #grant({ entries }: LimitRequestMessage, nowMs: number): LimitResponseEntry[] {
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
    #onShares(): void {
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
        this.#nextLeaseEndMs = Infinity;
        this.#onShares();
    }

    #forget(nowMs: number): void {
        if (nowMs < this.#nextForgetMs) {
            return;
        }
        this.#nextForgetMs = nowMs + idleExpiryMs;
        for (const [name, { heardAtMs }] of this.#delegators) {
            if (nowMs - heardAtMs >= idleExpiryMs) {
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

    #createAnswer(
        { life, seq }: Pick<LimitRequestMessage, "life" | "seq">,
        entries: LimitResponseEntry[],
        nowMs: number,
    ): LimitResponseMessage {
        return {
            v: protocolVersion,
            type: "answer",
            sender: this.#name,
            life: this.#life,
            askerLife: life,
            seq,
            group: this.#group,
            // Whole milliseconds keep datagrams short; rounding down never extends a lease.
            atMs: Math.floor(nowMs),
            entries,
        };
    }
}
