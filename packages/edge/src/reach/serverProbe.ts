import { type FleetView, type RegisteredServer } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type PlacementState } from "@galenaglade/placement";
import { type ServerContactResult } from "@galenaglade/reachability";
import { probeServerLoad, toContactResult } from "../backends/probeServerLoad.js";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { reachabilityCheckTimeoutMs } from "../constants.js";
import { type ResponseMetadataRecorder } from "../requests/responseMetadataRecorder.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type EdgeMetadataCodec } from "../metadataCodec.js";

/** Checks whether one backend server is reachable over a new connection. */
export abstract class ServerProbe {
    abstract probe(service: string, server: RegisteredServer): Promise<ServerContactResult>;
}

/** Dependencies of {@link LoadProbe}. */
export interface LoadProbeDeps {
    readonly view: FleetView;
    readonly placementState: PlacementState;
    readonly metadataRecorder: ResponseMetadataRecorder;
    readonly connections: ServerConnectionPool;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly clock: Clock;
    readonly metrics: EdgeMetrics;
}

/** Requests the server's load, and records the response like that of any other load request. */
export class LoadProbe extends ServerProbe {
    readonly #deps: LoadProbeDeps;

    constructor(deps: LoadProbeDeps) {
        super();
        this.#deps = deps;
    }

    override async probe(service: string, server: RegisteredServer): Promise<ServerContactResult> {
        const { view, placementState, metadataRecorder, connections, metadataCodec, clock, metrics } = this.#deps;
        const rules = view.configurationInForce?.services.get(service);
        if (rules === undefined) {
            return "lost";
        }
        const startedAtMs = clock.monotonicMs();
        const connection = connections.open(server.address);
        const { healthPath } = rules;
        const result = await probeServerLoad({
            server,
            connection,
            healthPath,
            metadataCodec: metadataCodec,
            timeoutMs: reachabilityCheckTimeoutMs,
        });
        const nowMs = clock.monotonicMs();
        metrics.onLoadProbed(result.type === "told" ? "told" : result.reason);
        if (result.type === "untold") {
            connection.destroy();
            return toContactResult(result);
        }
        connections.release(server.id, connection, { after: "question", nowMs });
        placementState.onProbeResponse(service, result.status, startedAtMs);
        metadataRecorder.record({
            server,
            metadata: result.metadata,
            source: { answered: "question", sentAtMs: startedAtMs },
            nowMs,
        });
        return "heard";
    }
}
