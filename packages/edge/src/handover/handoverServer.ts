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

type RefusalReason = typeof handoverRefusalReasons[number];

/** Handles requests that were handed over and admitted. */
export abstract class HandoverHandler {
    /** Handles one request; never throws. */
    abstract handleHandover(req: IncomingMessage, res: ServerResponse, metadata: HandoverMetadata): void;
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

const refusalStatuses: Readonly<Record<RefusalReason, number>> = {
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
    readonly #deps: HandoverServerDeps;
    #inFlight = 0;

    constructor(deps: HandoverServerDeps) {
        this.#deps = deps;
    }

    handle(req: IncomingMessage, res: ServerResponse): void {
        const { handler, metrics } = this.#deps;
        const metadata = parseHandoverMetadata(findHeader(req.rawHeaders, handoverHeader));
        const refusal = metadata === undefined ? "malformed" : this.#findRefusal(req, metadata);
        if (metadata === undefined || refusal !== undefined) {
            this.#refuse(req, res, metadata, refusal ?? "malformed");
            return;
        }
        metrics.onHandoverReceived("taken");
        this.#inFlight++;
        res.once("close", () => this.#inFlight--);
        handler.handleHandover(req, res, metadata);
    }

    #findRefusal(req: IncomingMessage, { from, service, version }: HandoverMetadata): RefusalReason | undefined {
        const { view, reachability, isStopping } = this.#deps;
        if (!this.#isRegistered(from, req.socket.remoteAddress ?? "")) {
            return "notRegistered";
        }
        if (isStopping()) {
            return "stopping";
        }
        if (this.#inFlight >= maxIncomingHandovers) {
            return "busy";
        }
        if ((view.configurationInForce?.configuration.version ?? -1) < version) {
            return "behind";
        }
        return reachability.stateOf(service) === "reached" ? undefined : "unreached";
    }

    /**
     * Checks name and address against the registered gateways. Handed-over requests skip the workspaces' rate limits,
     * so no other process may send them.
     */
    #isRegistered(from: string, remoteAddress: string): boolean {
        const address = remoteAddress.replace(/^::ffff:/, "");
        return this.#deps.view.registeredGateways().some(({ name, peerAddress }) =>
            name === from && peerAddress.host === address
        );
    }

    #refuse(
        req: IncomingMessage,
        res: ServerResponse,
        metadata: HandoverMetadata | undefined,
        reason: RefusalReason,
    ): void {
        const { log, metrics, reachability, clock } = this.#deps;
        metrics.onHandoverReceived(reason);
        log.log(reason === "malformed" || reason === "notRegistered" ? "warn" : "info", "handoverRefused", {
            from: metadata?.from,
            address: req.socket.remoteAddress,
            service: metadata?.service,
            reason,
        });
        const named = metadata === undefined
            ? []
            : reachability.handoverTargets.suggest(metadata.service, clock.monotonicMs());
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
    reason: RefusalReason,
    named: readonly string[],
): void {
    res.writeHead(refusalStatuses[reason], {
        [handoverHeader]: renderHandoverHeader({ type: "refused", reason, named }),
        "content-length": 0,
        // The rest of an unread body would be parsed as the next request.
        ...(req.complete ? {} : { connection: "close" }),
    });
    res.end();
}
