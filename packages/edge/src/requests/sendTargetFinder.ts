import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type ReachabilityState } from "@galenaglade/reachability";
import { type ExchangeHandover } from "../handover/exchangeHandover.js";
import { awaitFirst } from "./awaitFirst.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type ExchangeDeps } from "./exchangeDeps.js";
import { type ExchangePlacement, type SendPurpose } from "./exchangePlacement.js";
import { type PlacementFailure, type Placement } from "./placer.js";

/** Destination of a send. */
export type SendTarget =
    | { readonly type: "server"; readonly place: Placement; }
    | { readonly type: "gateway"; readonly gateway: RegisteredGateway; };

/** Inputs of a {@link SendTargetFinder}. */
export interface SendTargetFinderInput {
    readonly deps: ExchangeDeps;
    readonly request: EdgeRequest;
    /** Aborted when the final response is due, or when the caller has disconnected. */
    readonly signal: AbortSignal;
    readonly whenInputRead: () => Promise<void>;
    readonly placement: ExchangePlacement;
    readonly handover: ExchangeHandover;
}

/** Finds the destinations of one request's sends: backend servers, or other gateways while this host is cut off. */
export class SendTargetFinder {
    readonly #input: SendTargetFinderInput;

    constructor(input: SendTargetFinderInput) {
        this.#input = input;
    }

    /** @returns a server, or another gateway if this host can't reach any server of the service */
    async find(purpose: SendPurpose): Promise<SendTarget | PlacementFailure> {
        const { reachability } = this.#input.deps;
        const service = this.#input.request.rules.name;
        if (!this.#input.deps.maySend(this.#input.request)) {
            return "stopping";
        }
        if (this.#input.handover.isAllowed && await this.#whenReachabilitySettled() !== "reached") {
            if (this.#input.signal.aborted) {
                return "abandoned";
            }
            const gateway = this.#chooseHandoverTarget();
            if (gateway !== undefined) {
                return { type: "gateway", gateway };
            }
            if (!reachability.tryAcquireLocalAttempt(service)) {
                return "unreached";
            }
        }
        const place = await this.#input.placement.place(purpose);
        if (typeof place !== "string") {
            return { type: "server", place };
        }
        // The probes of the search itself may have shown that no server can be reached.
        const mayHandOver = (place === "noOffer" || place === "noneGood") && this.#input.handover.isAllowed;
        const gateway = mayHandOver && await this.#whenReachabilitySettled() === "lost" && !this.#input.signal.aborted
            ? this.#chooseHandoverTarget()
            : undefined;
        return gateway === undefined ? place : { type: "gateway", gateway };
    }

    /**
     * @returns whether this host can reach the service, once that is settled or the request is aborted, and the caller's
     * connection was read
     */
    async #whenReachabilitySettled(): Promise<ReachabilityState> {
        const { deps: { reachability }, request, signal, whenInputRead } = this.#input;
        const service = request.rules.name;
        await awaitFirst([reachability.whenSettled(service)], signal, undefined);
        await whenInputRead();
        return reachability.stateOf(service);
    }

    /** @returns a gateway to hand the request over to; `undefined` if there is none, or if this host isn't cut off */
    #chooseHandoverTarget(): RegisteredGateway | undefined {
        const { reachability } = this.#input.deps;
        const service = this.#input.request.rules.name;
        if (reachability.stateOf(service) !== "lost") {
            return undefined;
        }
        const gateway = this.#input.handover.chooseGateway();
        if (gateway === undefined && this.#input.handover.isAllowed) {
            reachability.onHandoverTargetsExhausted(service);
        }
        return gateway;
    }
}

/** @returns the id of the server, the name of the gateway, or why there is none; for logs */
export function describeTarget(target: SendTarget | PlacementFailure): string {
    if (typeof target === "string") {
        return target;
    }
    return target.type === "server" ? target.place.server.id : target.gateway.name;
}
