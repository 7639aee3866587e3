import { clockDriftAllowanceMs, leaseRenewalPeriodMs, leaseTtlMs, storeReplyTimeoutMs } from "./constants.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

/** Keeps one lease for a gateway, and knows until when the gateway may act on it. */
export class LeaseKeeper {
    #leaseId: string | undefined;
    #renewedAtMs = Number.NEGATIVE_INFINITY;
    #askedAtMs = Number.NEGATIVE_INFINITY;

    /** The present lease; `undefined` where there is none. */
    get leaseId(): string | undefined {
        return this.#leaseId;
    }

    /** Time before the last confirmed grant or renewal was sent, in milliseconds. */
    get renewedAtMs(): number {
        return this.#renewedAtMs;
    }

    /**
     * Counted from before the renewal was sent and with a margin: a holder that was paused past the lease sees in the
     * turn in which it wakes that its authority is gone, before the store could have given it to another.
     *
     * @param nowMs - the present time
     * @returns whether the lease certainly still stands at the store
     */
    isValid(nowMs: number): boolean {
        return this.#leaseId !== undefined && nowMs < this.#renewedAtMs + leaseTtlMs - clockDriftAllowanceMs;
    }

    /**
     * @param nowMs - the present time
     * @returns the call that is due, if any
     */
    tick(nowMs: number): readonly StoreCommand[] {
        const isPending = nowMs < this.#askedAtMs + storeReplyTimeoutMs;
        if (isPending || nowMs < this.#renewedAtMs + leaseRenewalPeriodMs) {
            return [];
        }
        this.#askedAtMs = nowMs;
        if (this.#leaseId === undefined || !this.isValid(nowMs)) {
            this.#leaseId = undefined;
            return [{ type: "grantLease", ttlMs: leaseTtlMs }];
        }
        return [{ type: "renewLease", leaseId: this.#leaseId }];
    }

    /**
     * @param reply - the end of any call; those of other commands are passed over
     */
    onReply(reply: StoreReply): void {
        const { command, outcome } = reply;
        if (command.type === "grantLease" && outcome.type === "lease") {
            if (this.#leaseId === undefined) {
                this.#leaseId = outcome.leaseId;
                this.#renewedAtMs = reply.sentAtMs;
            }
        }
        else if (command.type === "renewLease" && command.leaseId === this.#leaseId) {
            this.#onRenewal(reply);
        }
        else {
            return;
        }
        this.#askedAtMs = outcome.type === "failed" ? this.#askedAtMs : Number.NEGATIVE_INFINITY;
    }

    #onRenewal(reply: StoreReply): void {
        if (reply.outcome.type === "lease") {
            this.#renewedAtMs = Math.max(this.#renewedAtMs, reply.sentAtMs);
        }
        else if (reply.outcome.type === "lapsed") {
            this.#leaseId = undefined;
        }
    }
}
