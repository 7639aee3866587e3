import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type Send, type SendResult } from "../backends/sendRequest.js";
import { type Handover, type HandoverResult } from "../handover/handoverSend.js";
import { type SendPurpose } from "./exchangePlacement.js";
import { type Placement } from "./placer.js";

/** One send of a request to a backend server that has not ended. */
export interface ServerSend {
    readonly to: "server";
    readonly send: Send;
    readonly place: Placement;
    readonly purpose: SendPurpose;
    /** Whether nothing had been heard on its connection before. */
    readonly isNewConnection: boolean;
    /** What was known of crashes when it began. */
    readonly ledgerVersion: number;
    readonly ended: Promise<FinishedSend>;
}

/** A request that is at another gateway. */
export interface GatewaySend {
    readonly to: "gateway";
    readonly send: Handover;
    readonly gateway: RegisteredGateway;
    readonly ended: Promise<FinishedSend>;
}

/** One send of a request that has not ended. */
export type PendingSend = ServerSend | GatewaySend;

/** The end of one. */
export type FinishedSend =
    | { readonly type: "server"; readonly underWay: ServerSend; readonly result: SendResult; }
    | { readonly type: "gateway"; readonly underWay: GatewaySend; readonly result: HandoverResult; };

/** @returns the name of whom a send goes to */
export function receiverName(underWay: PendingSend): string {
    return underWay.to === "server" ? underWay.place.server.id : underWay.gateway.name;
}
