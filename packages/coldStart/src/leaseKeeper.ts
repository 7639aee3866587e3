import { clockDriftAllowanceMs, leaseRenewalPeriodMs, leaseTtlMs, storeReplyTimeoutMs } from "./constants.js";
import { type StoreCommand, type StoreReply } from "./storeCommand.js";

/** Acquires and renews the lease of a gateway, and tracks until when the gateway may act on it. */
export class LeaseKeeper {
    #leaseId: string | undefined;
    #renewedAtMs = Number.NEGATIVE_INFINITY;
    #calledAtMs = Number.NEGATIVE_INFINITY;

    /** Id of the current lease; `undefined` if there is none. */
    get leaseId(): string | undefined {
        return this.#leaseId;
    }

    /** Monotonic time before the last confirmed grant or renewal was sent, in milliseconds. */
    get renewedAtMs(): number {
        return this.#renewedAtMs;
    }

    /**
     * Validity is measured from before the renewal was sent, less a clock drift allowance. A holder that was paused
     * past its lease thus finds it expired in the turn in which it resumes, before the store can grant it to another.
     *
     * @param nowMs - current monotonic time
     * @returns whether the lease is certain to be still valid in the store
     */
    isValid(nowMs: number): boolean {
        return this.#leaseId !== undefined && nowMs < this.#renewedAtMs + leaseTtlMs - clockDriftAllowanceMs;
    }

    /**
     * @param nowMs - current monotonic time
     * @returns the store call that is due, if any
     */
    tick(nowMs: number): readonly StoreCommand[] {
        const isPending = nowMs < this.#calledAtMs + storeReplyTimeoutMs;
        if (isPending || nowMs < this.#renewedAtMs + leaseRenewalPeriodMs) {
            return [];
        }
        this.#calledAtMs = nowMs;
        if (this.#leaseId === undefined || !this.isValid(nowMs)) {
            this.#leaseId = undefined;
            return [{ type: "grantLease", ttlMs: leaseTtlMs }];
        }
        return [{ type: "renewLease", leaseId: this.#leaseId }];
    }

    /**
     * @param reply - reply to any store call; replies to other commands are ignored
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
        this.#calledAtMs = outcome.type === "failed" ? this.#calledAtMs : Number.NEGATIVE_INFINITY;
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
