import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { isGood, type PlacementState, scoreServer, type ServerStatus } from "@galenaglade/placement";
import { probeServerLoad, type LoadProbeFailure, toContactResult } from "../backends/probeServerLoad.js";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type ReachabilityMonitor } from "../reach/reachabilityMonitor.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StartTimeline } from "../telemetry/startTimeline.js";
import { type EdgeMetadataCodec } from "../metadataCodec.js";
import { type ResponseMetadataRecorder } from "./responseMetadataRecorder.js";

/** Dependencies of a {@link PlacementProber}. */
export interface PlacementProberDeps {
    readonly placementState: PlacementState;
    readonly metadataRecorder: ResponseMetadataRecorder;
    readonly connections: ServerConnectionPool;
    readonly reachability: Pick<ReachabilityMonitor, "onContact">;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    readonly timeline: StartTimeline;
}

/** Number of one request's load probes, by how they ended. */
export type ProbeEndCounts = Map<"told" | LoadProbeFailure["reason"], number>;

/** Probes backend servers for their load and records their reports in the placement state. */
export class PlacementProber {
    readonly #deps: PlacementProberDeps;

    constructor(deps: PlacementProberDeps) {
        this.#deps = deps;
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
            const unresponsive: RegisteredServer[] = [];
            let responded = 0;
            for (const server of servers) {
                void this.#probeSafely(rules, server, timeoutMs, ends).then(status => {
                    if (status === undefined) {
                        unresponsive.push(server);
                    }
                    else {
                        responded++;
                    }
                    const allEnded = responded + unresponsive.length === servers.length;
                    if (allEnded) {
                        this.#suspectUnresponsive(rules.name, unresponsive, responded);
                    }
                    if (allEnded || (status !== undefined && status.healthy && hasSpareCapacity(status))) {
                        resolve(responded);
                    }
                });
            }
        });
    }

    /** A probe that fails unexpectedly counts as unanswered; otherwise the search would wait for it without an end. */
    async #probeSafely(
        rules: ServiceRules,
        server: RegisteredServer,
        timeoutMs: number,
        ends: ProbeEndCounts,
    ): Promise<ServerStatus | undefined> {
        try {
            return await this.#probeOne(rules, server, timeoutMs, ends);
        }
        catch (err) {
            const { log } = this.#deps;
            const { id, address: { host, port } } = server;
            log.log("error", "unexpected", {
                during: "loadProbe",
                server: id,
                address: `${host}:${port}`,
                error: String(err),
            });
            return undefined;
        }
    }

    async #probeOne(
        rules: ServiceRules,
        server: RegisteredServer,
        timeoutMs: number,
        ends: ProbeEndCounts,
    ): Promise<ServerStatus | undefined> {
        const { placementState, metadataRecorder, connections, reachability, metadataCodec, clock, metrics, timeline } =
            this.#deps;
        timeline.record("firstProbe");
        const probedAtMs = clock.monotonicMs();
        const connection = connections.acquire(server.id, server.address);
        const isNewConnection = !connection.hasResponded;
        const result = await probeServerLoad({
            server,
            connection,
            healthPath: rules.healthPath,
            metadataCodec: metadataCodec,
            timeoutMs,
        });
        const end = result.type === "told" ? "told" : result.reason;
        ends.set(end, (ends.get(end) ?? 0) + 1);
        metrics.onLoadProbed(end);
        reachability.onContact({
            service: rules.name,
            serverId: server.id,
            isNewConnection,
            end: toContactResult(result),
            startedAtMs: probedAtMs,
        });
        if (result.type === "untold") {
            // A late response on it would be taken for the response to the next request.
            connection.destroy();
            return undefined;
        }
        timeline.record("firstProbeAnswered");
        connections.release(server.id, connection, { after: "question", nowMs: clock.monotonicMs() });
        placementState.onProbeResponse(rules.name, result.status, probedAtMs);
        const source = { answered: "question", sentAtMs: probedAtMs } as const;
        metadataRecorder.record({ server, metadata: result.metadata, source, nowMs: clock.monotonicMs() });
        return result.status;
    }

    /**
     * Marks servers that didn't respond as suspect, so that they are probed last for a while; otherwise every request
     * would wait for them. If none of several servers responded, the likely cause is this process (slow right after a
     * start) or its host's network, so none is marked: all servers would become suspect at once.
     */
    #suspectUnresponsive(service: string, unresponsive: readonly RegisteredServer[], responded: number): void {
        if (responded === 0 && unresponsive.length > 1) {
            return;
        }
        for (const { id } of unresponsive) {
            this.#deps.placementState.onProbeUnanswered(service, id, this.#deps.clock.monotonicMs());
        }
    }
}

function hasSpareCapacity(status: ServerStatus): boolean {
    return isGood(
        scoreServer(status, {
            typicalLatencyMs: 0,
            sentSinceReport: 0,
            sameZone: true,
            suspect: false,
            reservedSlots: 0,
        }),
    );
}
