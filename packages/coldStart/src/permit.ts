import { type ServerId } from "@galenaglade/routing";
import * as z from "zod";
import { maxHorizonMs, permitRetryDelayMs, minHorizonMs } from "./constants.js";
import { type StoreCommand, type StoredValue, type StoreReply } from "./storeCommand.js";

const formerHolder = z.object({
    /** `name/incarnation` of the gateway. */
    gateway: z.string(),
    /**
     * Maximum time from sending to deadline of the requests sent under the permit, in milliseconds; `undefined` if only
     * the configuration limits it.
     */
    horizonMs: z.number().min(0).max(maxHorizonMs).optional(),
}).readonly();

const permitRecord = z.object({
    /** Number of times that the server has turned cold, as known to the last holder. */
    epoch: z.number().int().min(0),
    /** The last holder, and earlier ones whose requests may not have ended yet. */
    holders: z.array(formerHolder).readonly(),
}).readonly();

/** A permit holder whose requests may still be in flight. */
export type FormerHolder = z.output<typeof formerHolder>;

/** Stored record that outlives the permit's lease, so that the next holder can account for earlier requests. */
export type PermitRecord = z.output<typeof permitRecord>;

type Stage = "none" | "claiming" | "claimed" | "reading" | "read" | "writing" | "held" | "releasing";

/** @returns the store key that a permit holder keeps under its lease */
export function createPermitKey(serverId: ServerId): string {
    return `coldStart/permit/${serverId}`;
}

/** @returns the store key of the record that outlives the permit's lease */
export function createPermitRecordKey(serverId: ServerId): string {
    return `coldStart/record/${serverId}`;
}

/** Stands for the unknown holders of a record that can't be read. */
const unreadableRecord: PermitRecord = Object.freeze({ epoch: 0, holders: [{ gateway: "unreadable" }] });

function parseRecord(entry: StoredValue | undefined): PermitRecord | undefined {
    if (entry === undefined) {
        return undefined;
    }
    try {
        return permitRecord.parse(JSON.parse(entry.value));
    }
    catch {
        return unreadableRecord;
    }
}

function roundUpHorizon(requiredMs: number): number {
    let horizonMs = minHorizonMs;
    while (horizonMs < requiredMs) {
        horizonMs *= 2;
    }
    return horizonMs;
}

/** Acquires the warm-up permit of one server for one gateway: first the key under its lease, then the record. */
export class Permit {
    readonly #self: string;
    readonly #serverId: ServerId;
    #stage: Stage = "none";
    #leaseId: string | undefined;
    #pending: StoreCommand | undefined;
    #retryAtMs = 0;
    #term = 0;
    #recordRevision = 0;
    #inheritedHolders: readonly FormerHolder[] = [];
    #recordedEpoch = 0;
    #hasInheritedEnded = false;
    /** Whether a claim whose reply was lost may have taken effect. */
    #isClaimUncertain = false;
    #writtenHorizonMs = 0;
    #horizonMs = 0;
    #requiredHorizonMs = minHorizonMs;

    constructor(self: string, serverId: ServerId) {
        this.#self = self;
        this.#serverId = serverId;
    }

    /** Store revision of the current claim, which increases with each holder. */
    get term(): number {
        return this.#term;
    }

    /** Earlier holders whose requests may still run; known once {@link isHeld}. */
    get inheritedHolders(): readonly FormerHolder[] {
        return this.#inheritedHolders;
    }

    /** Epoch of the record when it was read. */
    get recordedEpoch(): number {
        return this.#recordedEpoch;
    }

    /** Maximum time from sending to deadline that the record allows, in milliseconds. */
    get horizonMs(): number {
        return this.#horizonMs;
    }

    /** Requires a wider horizon in the record before a request with a later deadline is sent. */
    widenHorizon(horizonMs: number): void {
        this.#requiredHorizonMs = Math.max(this.#requiredHorizonMs, roundUpHorizon(horizonMs));
    }

    /** Records that all requests of earlier holders have ended, so that the record need not list them. */
    markInheritedEnded(): void {
        this.#hasInheritedEnded = true;
    }

    isHeld(leaseId: string | undefined): boolean {
        return leaseId !== undefined && leaseId === this.#leaseId && this.#horizonMs > 0;
    }

    /** @returns the next store call to acquire or keep the permit, if one is due */
    nextCommand(leaseId: string | undefined, epoch: number, nowMs: number): StoreCommand | undefined {
        if (leaseId !== this.#leaseId) {
            this.#reset(leaseId);
        }
        if (leaseId === undefined || this.#pending !== undefined || nowMs < this.#retryAtMs) {
            return undefined;
        }
        this.#pending = this.#createCommand(leaseId, epoch);
        return this.#pending;
    }

    /**
     * A claim whose reply was lost may have taken effect. A permit that is forgotten while its lease is renewed would
     * block every other gateway forever, so a release completes only when the store confirms it.
     *
     * @returns the next store call to release the permit, if one is due
     */
    nextReleaseCommand(leaseId: string | undefined, epoch: number, nowMs: number): StoreCommand | undefined {
        if (this.#stage === "none" && !this.#isClaimUncertain) {
            return undefined;
        }
        if (this.#pending === undefined && this.#term !== 0) {
            this.#stage = "releasing";
            this.#horizonMs = 0;
        }
        return this.nextCommand(leaseId, epoch, nowMs);
    }

    onReply(reply: StoreReply, nowMs: number): void {
        if (reply.command !== this.#pending) {
            return;
        }
        this.#pending = undefined;
        if (reply.outcome.type === "failed") {
            this.#onFailed(nowMs);
            return;
        }
        switch (this.#stage) {
            case "claiming":
                this.#onClaimed(reply, nowMs);
                break;
            case "reading":
                this.#onRead(reply);
                break;
            case "writing":
                this.#onWritten(reply);
                break;
            case "releasing":
                this.#reset(this.#leaseId);
                break;
        }
    }

    #createCommand(leaseId: string, epoch: number): StoreCommand | undefined {
        switch (this.#stage) {
            case "none":
                this.#stage = "claiming";
                return this.#createSwap(
                    createPermitKey(this.#serverId),
                    0,
                    JSON.stringify({ holder: this.#self }),
                    leaseId,
                );
            case "claimed":
                this.#stage = "reading";
                return { type: "read", key: createPermitRecordKey(this.#serverId) };
            case "read":
                return this.#createRecordWrite(epoch);
            case "held":
                return this.#isRecordDue() ? this.#createRecordWrite(epoch) : undefined;
            case "releasing":
                return this.#createSwap(createPermitKey(this.#serverId), this.#term, undefined, undefined);
            default:
                return undefined;
        }
    }

    #isRecordDue(): boolean {
        return this.#requiredHorizonMs > this.#horizonMs
            || (this.#hasInheritedEnded && this.#inheritedHolders.length > 0);
    }

    #createRecordWrite(epoch: number): StoreCommand {
        this.#stage = "writing";
        this.#writtenHorizonMs = this.#requiredHorizonMs;
        if (this.#hasInheritedEnded) {
            this.#inheritedHolders = [];
        }
        const own: FormerHolder = { gateway: this.#self, horizonMs: this.#writtenHorizonMs };
        const record: PermitRecord = { epoch, holders: [own, ...this.#inheritedHolders] };
        return this.#createSwap(
            createPermitRecordKey(this.#serverId),
            this.#recordRevision,
            JSON.stringify(record),
            undefined,
        );
    }

    #createSwap(
        key: string,
        expectedRevision: number,
        value: string | undefined,
        leaseId: string | undefined,
    ): StoreCommand {
        return { type: "swap", key, expectedRevision, value, leaseId };
    }

    #onClaimed(reply: StoreReply, nowMs: number): void {
        const { outcome } = reply;
        if (outcome.type === "swapped") {
            this.#setClaimed(outcome.revision);
        }
        else if (outcome.type === "notSwapped" && outcome.current?.leaseId === this.#leaseId) {
            // An earlier claim took effect but its reply was lost: the key is under this gateway's lease.
            this.#setClaimed(outcome.current?.modifiedRevision ?? 0);
        }
        else {
            this.#stage = "none";
            this.#isClaimUncertain = false;
            this.#retryAtMs = nowMs + permitRetryDelayMs;
        }
    }

    #setClaimed(term: number): void {
        this.#stage = "claimed";
        this.#isClaimUncertain = false;
        this.#term = term;
    }

    #onRead(reply: StoreReply): void {
        if (reply.outcome.type !== "value") {
            return;
        }
        this.#recordRevision = reply.outcome.entry?.modifiedRevision ?? 0;
        const record = parseRecord(reply.outcome.entry);
        // This gateway's own requests are counted by ServerState.
        this.#inheritedHolders = record?.holders.filter(holder => holder.gateway !== this.#self) ?? [];
        this.#recordedEpoch = record?.epoch ?? 0;
        this.#hasInheritedEnded = false;
        this.#stage = "read";
    }

    #onWritten(reply: StoreReply): void {
        if (reply.outcome.type === "swapped") {
            this.#recordRevision = reply.outcome.revision;
            this.#horizonMs = this.#writtenHorizonMs;
            this.#stage = "held";
            return;
        }
        // An earlier holder's last write came first; its horizon must be read.
        this.#stage = "claimed";
    }

    #onFailed(nowMs: number): void {
        this.#retryAtMs = nowMs + permitRetryDelayMs;
        if (this.#stage === "claiming") {
            this.#isClaimUncertain = true;
            this.#stage = "none";
        }
        else if (this.#stage !== "releasing") {
            this.#stage = "claimed";
        }
    }

    #reset(leaseId: string | undefined): void {
        this.#leaseId = leaseId;
        this.#stage = "none";
        this.#pending = undefined;
        this.#isClaimUncertain = false;
        this.#term = 0;
        this.#horizonMs = 0;
        this.#requiredHorizonMs = minHorizonMs;
        this.#inheritedHolders = [];
        this.#hasInheritedEnded = false;
        this.#recordRevision = 0;
    }
}
