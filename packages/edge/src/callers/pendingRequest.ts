import { type Clock } from "@galenaglade/http-parts";
import { type Exchange, type ExchangeStage } from "../requests/exchange.js";
import { SendRecord } from "../requests/sendRecord.js";
import { RequestDeadline } from "./requestDeadline.js";

/** What a request is waiting for: before its exchange begins, or in it. */
export type PendingStage = "held" | "body" | "permit" | ExchangeStage;

/** A request of a caller, or of another gateway, from its arrival until it has been handled. */
export class PendingRequest {
    readonly requestId: string | undefined;
    readonly deadline: RequestDeadline;
    readonly sends = new SendRecord();
    exchange: Exchange | undefined;
    /** Whether the sends go on after the caller has left. */
    sendsGoOn = false;
    #stage: "held" | "body" | "permit" = "body";

    /**
     * @param requestId - id that the caller gave it
     * @param clock - clock of its deadline
     */
    constructor(requestId: string | undefined, clock: Clock) {
        this.requestId = requestId;
        this.deadline = new RequestDeadline(clock);
    }

    /** What the request is waiting for. */
    get stage(): PendingStage {
        return this.exchange?.stage ?? this.#stage;
    }

    /** Records what the request waits for before its exchange begins. */
    onStage(stage: "held" | "body" | "permit"): void {
        this.#stage = stage;
    }
}
