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

/** Dependencies of a {@link Placer}. */
export interface PlacerDeps extends PlacementProberDeps {
    readonly reachability: Pick<ReachabilityMonitor, "onContact" | "stateOf">;
    readonly view: FleetView;
    /** Availability zone of this gateway. */
    readonly availabilityZone: string;
    readonly clock: Clock;
    readonly placementState: PlacementState;
}

/** Search for a server for one request. */
export interface PlaceInput extends SearchInput {
    readonly signal: AbortSignal;
    /** Resolves once what had arrived on the caller's connection was read, so that the signal reflects its end. */
    readonly whenInputRead: () => Promise<void>;
    /** Whether the request may be handed to another gateway once this host is known not to reach the service. */
    readonly mayHandOver: boolean;
    /** Updated during the search. */
    readonly trace: SearchTrace;
    /** Restricts the search to these servers; `undefined` for all usable servers of the service. */
    readonly candidates?: readonly RegisteredServer[];
}

/** Why the search ended without a server. */
export type PlacementFailure =
    | NoServerReason
    | "abandoned"
    /** This gateway is stopping, and no server could finish the request in time. */
    | "stopping"
    /** Neither this gateway nor any other reaches a server of the service. */
    | "unreached";

/** Counters of a search, for the log. */
export interface SearchTrace {
    /** Servers that were eligible in the last round. */
    usable: number;
    /** Load probes sent. */
    asked: number;
    /** Responses to them, up to the one that decided the search. */
    offers: number;
    /** Number of probes, by how they ended. */
    readonly probeEnds: ProbeEndCounts;
    /** Time until the first server's back-off ends, in milliseconds, if all servers that could be used back off. */
    restingForMs: number | undefined;
}

/** The server that was picked. */
export type Placement = SearchStep & { readonly type: "send"; };

/** Picks a backend server for a request: runs the probes and pauses that its {@link ServerSearch} calls for. */
export class Placer {
    readonly #deps: PlacerDeps;
    readonly #prober: PlacementProber;

    constructor(deps: PlacerDeps) {
        this.#deps = deps;
        this.#prober = new PlacementProber(deps);
    }

    /** @returns the picked server, or why there is none */
    async place(input: PlaceInput): Promise<Placement | PlacementFailure> {
        const search = new ServerSearch(this.#deps.placementState, input);
        for (;;) {
            await input.whenInputRead();
            if (input.signal.aborted) {
                return "abandoned";
            }
            if (this.#deps.reachability.stateOf(input.rules.name) === "lost" && input.mayHandOver) {
                return "noOffer";
            }
            const snapshot = this.#takeSnapshot(input.rules.name, input.candidates);
            input.trace.usable = snapshot.usable.length;
            input.trace.restingForMs = snapshot.restingForMs;
            const step = search.step(snapshot);
            switch (step.type) {
                case "ask": {
                    const timeoutMs = Math.min(maxLoadProbeTimeoutMs, loadProbeTimeoutMs * 2 ** step.round);
                    input.trace.asked += step.servers.length;
                    input.trace.offers += await this.#prober.probe(
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
    }

    /** @returns time until the first server's back-off ends, in milliseconds, if all servers of a service back off */
    backoffRemainingMs(service: string): number | undefined {
        return this.#takeSnapshot(service, undefined).restingForMs;
    }

    #takeSnapshot(service: string, candidates: readonly RegisteredServer[] | undefined): FleetSnapshot {
        const { view, clock, placementState } = this.#deps;
        const nowMs = clock.monotonicMs();
        const members = view.gatewayMembers(nowMs);
        const servers = candidates?.filter(({ id }) => view.isUsable(id, nowMs)) ?? view.usableServers(service, nowMs);
        return {
            ...splitExcluded(servers, server => placementState.exclusionOf(server, nowMs)),
            gateways: members.names,
            zoneGateways: members.byZone.get(this.#deps.availabilityZone) ?? [],
            gatewaysByZone: members.byZone,
            sinceStoreContactMs: nowMs - view.lastStoreContactMs,
            nowMs,
        };
    }
}

/** Leaves out servers that have asked this gateway to send them nothing: those that back off or shut down. */
function splitExcluded(
    servers: readonly RegisteredServer[],
    exclusionOf: (server: RegisteredServer) => ServerExclusion | undefined,
): Pick<FleetSnapshot, "usable" | "restingForMs"> {
    const usable: RegisteredServer[] = [];
    let restingForMs = Infinity;
    for (const server of servers) {
        const exclusion = exclusionOf(server);
        if (exclusion === undefined) {
            usable.push(server);
        }
        else if (exclusion.type === "resting") {
            restingForMs = Math.min(restingForMs, exclusion.forMs);
        }
    }
    return { usable, restingForMs: usable.length > 0 || restingForMs === Infinity ? undefined : restingForMs };
}
