import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type Send, type SendResult } from "../backends/sendRequest.js";
import { hasReachedNoServer } from "../handover/exchangeHandover.js";
import { type Handover, type HandoverResult } from "../handover/handoverSend.js";
import { type SendPurpose } from "./exchangePlacement.js";
import { type Placement } from "./placer.js";

/** A send to a backend server that has not ended. */
export interface ServerSend {
    readonly to: "server";
    readonly send: Send;
    readonly placement: Placement;
    readonly purpose: SendPurpose;
    /** Whether the server had never responded on the connection before. */
    readonly isNewConnection: boolean;
    /** Version of the crash ledger when the send began. */
    readonly ledgerVersion: number;
    readonly ended: Promise<FinishedSend>;
}

/** A handover to another gateway that has not ended. */
export interface GatewaySend {
    readonly to: "gateway";
    readonly send: Handover;
    readonly gateway: RegisteredGateway;
    readonly ended: Promise<FinishedSend>;
}

/** A send that has not ended. */
export type PendingSend = ServerSend | GatewaySend;

/** A send that has ended, with its result. */
export type FinishedSend =
    | { readonly type: "server"; readonly underWay: ServerSend; readonly result: SendResult; }
    | { readonly type: "gateway"; readonly underWay: GatewaySend; readonly result: HandoverResult; };

/** @returns the id of the server, or the name of the gateway, that a send goes to */
export function receiverName(underWay: PendingSend): string {
    return underWay.to === "server" ? underWay.placement.server.id : underWay.gateway.name;
}

/** @returns whether a send may have reached a server */
export function hasReachedServer(ended: FinishedSend): boolean {
    if (ended.type === "gateway") {
        return !hasReachedNoServer(ended.result);
    }
    const { end } = ended.result;
    return !(end.type === "notRun" && (end.reason === "connectFailed" || end.reason === "notSent"));
}
