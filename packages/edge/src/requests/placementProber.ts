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

/** What questions are asked with. */
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

/** How questions of one request ended, by end. */
export type ProbeEndCounts = Map<"told" | LoadProbeFailure["reason"], number>;

/** Asks backend servers for their load, and lets the board know what they said. */
export class PlacementProber {
    readonly #parts: PlacementProberDeps;

    constructor(parts: PlacementProberDeps) {
        this.#parts = parts;
    }

    /**
     * Asks some servers at once. The first good one is enough: waiting for the others, every request would take as long as
     * the slowest of them.
     *
     * @param rules - of their service
     * @param servers - whom to ask
     * @param timeoutMs - time for each to answer
     * @param ends - counts how each question ended
     * @returns how many have answered once one of them is good, or all have ended
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
            // What comes on it later would be taken for the answer to whatever is sent next.
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
     * A server that doesn't tell its load is asked last for a while, or every request would wait for it. Where none of
     * several answered, this process itself was slow, as right after a start, or its host is cut off: blamed for that,
     * all servers would be suspected at once.
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

/** Whoever answers, the way there and back works. */
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
