import { type FleetView, type RegisteredServer } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import {
    type FleetSnapshot,
    type NoServerReason,
    type PlacementState,
    type SearchInput,
    type SearchStep,
    type ServerExclusion,
    ServerSearch,
} from "@galenaglade/placement";
import { type ReachabilityMonitor } from "../reach/reachabilityMonitor.js";
import { loadProbeTimeoutMs, maxLoadProbeTimeoutMs } from "../constants.js";
import { type ProbeEndCounts, PlacementProber, type PlacementProberDeps } from "./placementProber.js";

/** What the placer works with. */
export interface PlacerDeps extends PlacementProberDeps {
    readonly reachability: Pick<ReachabilityMonitor, "onContact" | "stateOf">;
    readonly view: FleetView;
    /** This gateway's own. */
    readonly availabilityZone: string;
    readonly clock: Clock;
    readonly board: PlacementState;
}

/** A request in search of a server. */
export interface PlaceInput extends SearchInput {
    readonly signal: AbortSignal;
    /** Whether it may go to another gateway once this one is known not to reach the service. */
    readonly mayHandOver: boolean;
    /** Counted up while the search goes on. */
    readonly trace: SearchTrace;
    /** The only servers to look at; `undefined` for all that may be given any work. */
    readonly candidates?: readonly RegisteredServer[];
}

/** Why no server was found. */
export type PlacementFailure =
    | NoServerReason
    | "abandoned"
    /** Neither this gateway nor another one reaches any server. */
    | "unreached";

/** What a search for a server looked at, for the log. */
export interface SearchTrace {
    /** Servers that may be given work, at the last look. */
    usable: number;
    /** Questions for load. */
    asked: number;
    /** Answers to them, up to the one that decided. */
    offers: number;
    /** How questions ended so far. */
    readonly probeEnds: ProbeEndCounts;
    /** Until the first server ends its rest, where nothing else keeps the request from being sent. */
    restingForMs: number | undefined;
}

/** Where a request goes. */
export type Placement = SearchStep & { readonly type: "send"; };

/** Finds a backend server for a request: carries out what its search wants to be asked, and waits when it wants to wait. */
export class Placer {
    readonly #parts: PlacerDeps;
    readonly #inquiry: PlacementProber;

    constructor(parts: PlacerDeps) {
        this.#parts = parts;
        this.#inquiry = new PlacementProber(parts);
    }

    /** @returns where the request goes */
    async place(input: PlaceInput): Promise<Placement | PlacementFailure> {
        const search = new ServerSearch(this.#parts.board, input);
        while (!input.signal.aborted) {
            if (this.#parts.reachability.stateOf(input.rules.name) === "lost" && input.mayHandOver) {
                return "noOffer";
            }
            const sight = this.#look(input.rules.name, input.candidates);
            input.trace.usable = sight.usable.length;
            input.trace.restingForMs = sight.restingForMs;
            const step = search.step(sight);
            switch (step.type) {
                case "ask": {
                    const timeoutMs = Math.min(maxLoadProbeTimeoutMs, loadProbeTimeoutMs * 2 ** step.round);
                    input.trace.asked += step.servers.length;
                    input.trace.offers += await this.#inquiry.probe(
                        input.rules,
                        step.servers,
                        timeoutMs,
                        input.trace.probeEnds,
                    );
                    break;
                }
                case "pause":
                    await sleep(step.forMs);
                    break;
                case "send":
                    return step;
                case "refuse":
                    return step.reason;
            }
        }
        return "abandoned";
    }

    /** @returns until the first server of a service ends its rest, where all that might be used rest */
    backoffRemainingMs(service: string): number | undefined {
        return this.#look(service, undefined).restingForMs;
    }

    #look(service: string, among: readonly RegisteredServer[] | undefined): FleetSnapshot {
        const { view, clock, board } = this.#parts;
        const nowMs = clock.monotonicMs();
        const counted = view.gatewayMembers(nowMs);
        const servers = among?.filter(({ id }) => view.isUsable(id, nowMs)) ?? view.usableServers(service, nowMs);
        return {
            ...splitBarred(servers, server => board.exclusionOf(server, nowMs)),
            gateways: counted.names,
            zoneGateways: counted.byZone.get(this.#parts.availabilityZone) ?? [],
            gatewaysByZone: counted.byZone,
            sinceStoreContactMs: nowMs - view.lastStoreContactMs,
            nowMs,
        };
    }
}

/** Leaves out servers that want nothing of this gateway. */
function splitBarred(
    servers: readonly RegisteredServer[],
    barOf: (server: RegisteredServer) => ServerExclusion | undefined,
): Pick<FleetSnapshot, "usable" | "restingForMs"> {
    const usable: RegisteredServer[] = [];
    let restingForMs = Infinity;
    for (const server of servers) {
        const bar = barOf(server);
        if (bar === undefined) {
            usable.push(server);
        }
        else if (bar.type === "resting") {
            restingForMs = Math.min(restingForMs, bar.forMs);
        }
    }
    return { usable, restingForMs: usable.length > 0 || restingForMs === Infinity ? undefined : restingForMs };
}
