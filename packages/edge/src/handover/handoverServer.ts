import { type FleetView } from "@galenaglade/fleet-state";
import { findHeader } from "@galenaglade/http-parts";
import { type Clock } from "@galenaglade/http-parts";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxIncomingHandovers } from "../constants.js";
import { type ReachabilityMonitor } from "../reach/reachabilityMonitor.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import {
    handoverHeader,
    type HandoverMetadata,
    type handoverRefusalReasons,
    parseHandoverMetadata,
    renderHandoverHeader,
} from "./handoverMessages.js";

type Refusal = typeof handoverRefusalReasons[number];

/** Handles requests that were handed over and admitted. */
export abstract class HandoverHandler {
    /** Handles one request; never throws. */
    abstract handleHandover(req: IncomingMessage, res: ServerResponse, order: HandoverMetadata): void;
}

/** Dependencies of a {@link HandoverServer}. */
export interface HandoverServerDeps {
    readonly view: FleetView;
    readonly reachability: ReachabilityMonitor;
    readonly handler: HandoverHandler;
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    readonly isStopping: () => boolean;
}

const statuses: Readonly<Record<Refusal, number>> = {
    malformed: 400,
    notRegistered: 403,
    busy: 503,
    stopping: 503,
    behind: 503,
    noRoute: 503,
    unreached: 503,
};

/** Admits requests that registered gateways hand over, while this gateway reaches the service and has capacity. */
export class HandoverServer {
    readonly #parts: HandoverServerDeps;
    #underWay = 0;

    constructor(parts: HandoverServerDeps) {
        this.#parts = parts;
    }

    handle(req: IncomingMessage, res: ServerResponse): void {
        const { handler, metrics } = this.#parts;
        const order = parseHandoverMetadata(findHeader(req.rawHeaders, handoverHeader));
        const refusal = order === undefined ? "malformed" : this.#findRefusal(req, order);
        if (order === undefined || refusal !== undefined) {
            this.#refuse(req, res, order, refusal ?? "malformed");
            return;
        }
        metrics.onHandoverReceived("taken");
        this.#underWay++;
        res.once("close", () => this.#underWay--);
        handler.handleHandover(req, res, order);
    }

    #findRefusal(req: IncomingMessage, { from, service, version }: HandoverMetadata): Refusal | undefined {
        const { view, reachability, isStopping } = this.#parts;
        if (!this.#isRegistered(from, req.socket.remoteAddress ?? "")) {
            return "notRegistered";
        }
        if (isStopping()) {
            return "stopping";
        }
        if (this.#underWay >= maxIncomingHandovers) {
            return "busy";
        }
        if ((view.configurationInForce?.configuration.version ?? -1) < version) {
            return "behind";
        }
        return reachability.stateOf(service) === "reached" ? undefined : "unreached";
    }

    /**
     * Checks name and address against the registered gateways. Handed-over requests skip the workspaces' rate limits, so
     * no other process may send them.
     */
    #isRegistered(from: string, remoteAddress: string): boolean {
        const address = remoteAddress.replace(/^::ffff:/, "");
        return this.#parts.view.registeredGateways().some(({ name, peerAddress }) =>
            name === from && peerAddress.host === address
        );
    }

    #refuse(req: IncomingMessage, res: ServerResponse, order: HandoverMetadata | undefined, reason: Refusal): void {
        const { log, metrics, reachability, clock } = this.#parts;
        metrics.onHandoverReceived(reason);
        log.log(reason === "malformed" || reason === "notRegistered" ? "warn" : "info", "handoverRefused", {
            from: order?.from,
            address: req.socket.remoteAddress,
            service: order?.service,
            reason,
        });
        const named = order === undefined
            ? []
            : reachability.handoverTargets.suggest(order.service, clock.monotonicMs());
        refuseHandover(req, res, reason, named);
    }
}

/**
 * Refuses a handed-over request with which nothing was done.
 *
 * @param req - the handed-over request
 * @param res - response to the other gateway
 * @param reason - why the request is refused
 * @param named - names of gateways that reach its service
 */
export function refuseHandover(
    req: IncomingMessage,
    res: ServerResponse,
    reason: Refusal,
    named: readonly string[],
): void {
    res.writeHead(statuses[reason], {
        [handoverHeader]: renderHandoverHeader({ type: "refused", reason, named }),
        "content-length": 0,
        // The rest of an unread body would be parsed as the next request.
        ...(req.complete ? {} : { connection: "close" }),
    });
    res.end();
}
