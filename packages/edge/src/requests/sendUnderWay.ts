import { type Send, type SendResult } from "../backends/sendRequest.js";
import { type Purpose } from "./exchangePlacement.js";
import { type Place } from "./placer.js";

/** One send of a request that has not ended. */
export interface SendUnderWay {
    readonly send: Send;
    readonly place: Place;
    readonly purpose: Purpose;
    /** Whether nothing had been heard on its connection before. */
    readonly isNewConnection: boolean;
    /** What was known of crashes when it began. */
    readonly mark: number;
    readonly ended: Promise<EndedSend>;
}

/** The end of one. */
export interface EndedSend {
    readonly underWay: SendUnderWay;
    readonly result: SendResult;
}
