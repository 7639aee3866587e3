import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type PlacementState } from "@galenaglade/placement";
import { type GatewayRollouts } from "@galenaglade/rollout";
import { type RandomSource } from "@galenaglade/routing";
import { type ConfigVersionWatermark } from "../handover/configVersionWatermark.js";
import { type ReachabilityMonitor } from "../reach/reachabilityMonitor.js";
import { type ServerLivenessChecker } from "../backends/serverLivenessChecker.js";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type CrashReportSync } from "../quarantine/crashReportSync.js";
import { type WorkspaceLimits } from "../limits/workspaceLimits.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type StartTimeline } from "../telemetry/startTimeline.js";
import { type EdgeMetadataCodec } from "../metadataCodec.js";
import { type ResponseMetadataRecorder } from "./responseMetadataRecorder.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type Placer } from "./placer.js";
import { type RepeatAdmission } from "./repeatAdmission.js";

/** Abort reason of an exchange: the caller has closed its connection. */
export const callerGone = "callerGone";

/** Abort reason of an exchange: the final response is due. */
export const cutoffReached = "cutoffReached";

/** Abort reason of an exchange: a planned stop can't wait any longer. */
export const stopDeadlineReached = "stopDeadlineReached";

/** Dependencies of an {@link Exchange}. */
export interface ExchangeDeps {
    /** Name of this gateway, as registered. */
    readonly name: string;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placer: Placer;
    readonly placementState: PlacementState;
    readonly metadataRecorder: ResponseMetadataRecorder;
    readonly connections: ServerConnectionPool;
    /** Connections to other gateways, by gateway name. */
    readonly peerConnections: ServerConnectionPool;
    readonly configVersionWatermark: ConfigVersionWatermark;
    readonly livenessChecker: ServerLivenessChecker;
    readonly reachability: ReachabilityMonitor;
    readonly crashReports: CrashReportSync;
    readonly limits: WorkspaceLimits;
    readonly repeats: RepeatAdmission;
    readonly rollouts: GatewayRollouts;
    /** Whether a request may be sent now: during a planned stop, not if its server couldn't finish it in time. */
    readonly maySend: (request: EdgeRequest) => boolean;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
    readonly timeline: StartTimeline;
}
