import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type Send, type SendResult } from "../backends/sendRequest.js";
import { type Handover, type HandoverResult } from "../handover/handoverSend.js";
import { type Purpose } from "./exchangePlacement.js";
import { type Place } from "./placer.js";

/** One send of a request to a backend server that has not ended. */
export interface ServerSend {
    readonly to: "server";
    readonly send: Send;
    readonly place: Place;
    readonly purpose: Purpose;
    /** Whether nothing had been heard on its connection before. */
    readonly isNewConnection: boolean;
    /** What was known of crashes when it began. */
    readonly mark: number;
    readonly ended: Promise<EndedSend>;
}

/** A request that is at another gateway. */
export interface GatewaySend {
    readonly to: "gateway";
    readonly send: Handover;
    readonly helper: RegisteredGateway;
    readonly ended: Promise<EndedSend>;
}

/** One send of a request that has not ended. */
export type SendUnderWay = ServerSend | GatewaySend;

/** The end of one. */
export type EndedSend =
    | { readonly type: "server"; readonly underWay: ServerSend; readonly result: SendResult; }
    | { readonly type: "gateway"; readonly underWay: GatewaySend; readonly result: HandoverResult; };

/** @returns the name of whom a send goes to */
export function nameReceiver(underWay: SendUnderWay): string {
    return underWay.to === "server" ? underWay.place.server.id : underWay.helper.name;
}
