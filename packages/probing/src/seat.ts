import { type StoreCommand, type StoreReply } from "@galenaglade/cold-start";
import { seatPrefix, seatRetryMs } from "./constants.js";

/** One gateway's way to one seat for probing one service's servers. */
export class Seat {
    readonly #self: string;
    readonly #service: string;
    readonly #seats: number;
    #leaseId: string | undefined;
    #pending: StoreCommand | undefined;
    #number = 0;
    #isHeld = false;
    #heldSinceMs = 0;
    #retryAtMs = 0;

    /**
     * @param self - `name/incarnation` of the gateway
     * @param service - the service
     * @param seats - how many seats there are; seats of another number are other seats
     */
    constructor(self: string, service: string, seats: number) {
        this.#self = self;
        this.#service = service;
        this.#seats = seats;
    }

    /** Whether the seat was granted under the lease. */
    isHeld(leaseId: string | undefined): boolean {
        return this.#isHeld && leaseId !== undefined && leaseId === this.#leaseId;
    }

    /** When the store's grant was heard of: no earlier holder probes after it. */
    get heldSinceMs(): number {
        return this.#heldSinceMs;
    }

    /**
     * @param leaseId - the gateway's lease
     * @param draw - a random number from 0 up to 1
     * @param nowMs - the present time
     * @returns the next call on the way to a seat, if one is due
     */
    next(leaseId: string | undefined, draw: number, nowMs: number): StoreCommand | undefined {
        if (leaseId !== this.#leaseId) {
            this.#leaseId = leaseId;
            this.#isHeld = false;
            this.#pending = undefined;
        }
        if (leaseId === undefined || this.#isHeld || this.#pending !== undefined || nowMs < this.#retryAtMs) {
            return undefined;
        }
        this.#retryAtMs = nowMs + seatRetryMs * (0.5 + draw);
        // A claim whose answer was lost may have taken effect; the same number is asked for until the store has
        // answered, or the gateway would come to hold two seats and keep one of them idle.
        this.#number = this.#number === 0 ? 1 + Math.floor(draw * this.#seats) : this.#number;
        this.#pending = {
            type: "swap",
            key: `${seatPrefix}${this.#service}/${this.#seats}/${this.#number}`,
            expectedRevision: 0,
            value: JSON.stringify({ holder: this.#self }),
            leaseId,
        };
        return this.#pending;
    }

    onReply(reply: StoreReply, nowMs: number): void {
        if (reply.command !== this.#pending) {
            return;
        }
        this.#pending = undefined;
        const { outcome } = reply;
        const isOwn = outcome.type === "notSwapped" && outcome.current?.leaseId === this.#leaseId;
        if (outcome.type === "swapped" || isOwn) {
            this.#isHeld = true;
            this.#heldSinceMs = nowMs;
        }
        else if (outcome.type === "notSwapped") {
            this.#number = 0;
        }
    }
}
