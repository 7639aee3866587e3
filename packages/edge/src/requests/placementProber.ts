import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { isGood, type PlacementState, scoreServer, type ServerStatus } from "@galenaglade/placement";
import { type ServerContactResult } from "@galenaglade/reachability";
import { probeServerLoad, type LoadProbeSuccess, type LoadProbeFailure } from "../backends/probeServerLoad.js";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type ReachabilityMonitor } from "../reach/reachabilityMonitor.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StartTimeline } from "../telemetry/startTimeline.js";
import { type EdgeMetadataCodec } from "../metadataCodec.js";
import { type ResponseMetadataRecorder } from "./responseMetadataRecorder.js";

/** Dependencies of a {@link PlacementProber}. */
export interface PlacementProberDeps {
    readonly board: PlacementState;
    readonly metadataRecorder: ResponseMetadataRecorder;
    readonly connections: ServerConnectionPool;
    readonly reachability: Pick<ReachabilityMonitor, "onContact">;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly clock: Clock;
    readonly metrics: EdgeMetrics;
    readonly timeline: StartTimeline;
}

/** Number of one request's load probes, by how they ended. */
export type ProbeEndCounts = Map<"told" | LoadProbeFailure["reason"], number>;

/** Probes backend servers for their load and records their reports on the placement board. */
export class PlacementProber {
    readonly #parts: PlacementProberDeps;

    constructor(parts: PlacementProberDeps) {
        this.#parts = parts;
    }

    /**
     * Probes several servers at once, and resolves as soon as one of them has spare capacity. If it waited for all,
     * every request would take as long as its slowest probe.
     *
     * @param rules - rules of the servers' service
     * @param servers - servers to probe
     * @param timeoutMs - timeout of each probe in milliseconds
     * @param ends - counts how the probes ended
     * @returns number of servers that have responded by then
     */
    probe(
        rules: ServiceRules,
        servers: readonly RegisteredServer[],
        timeoutMs: number,
        ends: ProbeEndCounts = new Map(),
    ): Promise<number> {
        return new Promise(resolve => {
            const silent: RegisteredServer[] = [];
            let answered = 0;
            for (const server of servers) {
                void this.#askOne(rules, server, timeoutMs, ends).then(offer => {
                    if (offer === undefined) {
                        silent.push(server);
                    }
                    else {
                        answered++;
                    }
                    const allEnded = answered + silent.length === servers.length;
                    if (allEnded) {
                        this.#blameSilent(rules.name, silent, answered);
                    }
                    if (allEnded || (offer !== undefined && offer.healthy && isGoodOffer(offer))) {
                        resolve(answered);
                    }
                });
            }
        });
    }

    async #askOne(
        rules: ServiceRules,
        server: RegisteredServer,
        timeoutMs: number,
        ends: ProbeEndCounts,
    ): Promise<ServerStatus | undefined> {
        const { board, metadataRecorder, connections, reachability, metadataCodec, clock, metrics, timeline } =
            this.#parts;
        timeline.record("firstProbe");
        const askedAtMs = clock.monotonicMs();
        const connection = connections.acquire(server.id, server.address);
        const isNewConnection = !connection.hasResponded;
        const told = await probeServerLoad({
            server,
            connection,
            healthPath: rules.healthPath,
            vocabulary: metadataCodec,
            timeoutMs,
        });
        const end = told.type === "told" ? "told" : told.reason;
        ends.set(end, (ends.get(end) ?? 0) + 1);
        metrics.onLoadProbed(end);
        reachability.onContact({
            service: rules.name,
            serverId: server.id,
            isNewConnection,
            end: findAskContact(told),
            startedAtMs: askedAtMs,
        });
        if (told.type === "untold") {
            // A late response on it would be taken for the response to the next request.
            connection.destroy();
            return undefined;
        }
        timeline.record("firstProbeAnswered");
        connections.release(server.id, connection, { after: "question", nowMs: clock.monotonicMs() });
        board.onProbeResponse(rules.name, told.offer, askedAtMs);
        const source = { answered: "question", sentAtMs: askedAtMs } as const;
        metadataRecorder.record({ server, metadata: told.metadata, source, nowMs: clock.monotonicMs() });
        return told.offer;
    }

    /**
     * Marks servers that didn't respond as suspect, so that they are probed last for a while; otherwise every request
     * would wait for them. If none of several servers responded, the likely cause is this process (slow right after a
     * start) or its host's network, so none is marked: all servers would become suspect at once.
     */
    #blameSilent(service: string, silent: readonly RegisteredServer[], answered: number): void {
        if (answered === 0 && silent.length > 1) {
            return;
        }
        for (const { id } of silent) {
            this.#parts.board.onProbeUnanswered(service, id, this.#parts.clock.monotonicMs());
        }
    }
}

/** A response from any server, even the wrong one, shows that the network path works. */
function findAskContact(told: LoadProbeSuccess | LoadProbeFailure): ServerContactResult {
    return told.type === "told" || told.reason === "otherServer" ? "heard" : told.reason;
}

function isGoodOffer(offer: ServerStatus): boolean {
    return isGood(
        scoreServer(offer, {
            typicalLatencyMs: 0,
            sentSinceReport: 0,
            sameZone: true,
            suspect: false,
            reservedSlots: 0,
        }),
    );
}
