import { FleetView } from "@galenaglade/fleet-state";
import {
    type Clock,
    createCallerServer,
    listen,
    type ListenAddress,
    sleep,
    systemClock,
} from "@galenaglade/http-parts";
import { PlacementState, RepeatBudget } from "@galenaglade/placement";
import { type KeyValueStore } from "@galenaglade/platform";
import { GatewayRollouts } from "@galenaglade/rollout";
import { createRandomSource } from "@galenaglade/routing";
import { type Logger, type Metrics } from "@galenaglade/telemetry";
import { ServerLivenessChecker } from "./backends/serverLivenessChecker.js";
import { ServerConnectionPool } from "./backends/serverConnectionPool.js";
import { DirectConnector, type ServerConnector } from "./backends/serverConnector.js";
import { CallerConnections } from "./callers/callerConnections.js";
import { EdgeHandler } from "./callers/edgeHandler.js";
import { StartupGate } from "./callers/startupGate.js";
import { createMetricsServer, createReadinessServer, type Readiness } from "./callers/readinessServer.js";
import {
    balancerDetectionMs,
    connectTimeoutMs,
    handoverConnectTimeoutMs,
    initialKeepAliveMs,
    maxCallerConnections,
    maxRequestHeadBytes,
    requestTimeoutMs,
    stopAcceptShare,
    stopMarginMs,
    stopPollPeriodMs,
} from "./constants.js";
import { HandoverServer } from "./handover/handoverServer.js";
import { ConfigVersionWatermark } from "./handover/configVersionWatermark.js";
import { UdpSocket } from "./limits/datagramSocket.js";
import { WorkspaceLimits } from "./limits/workspaceLimits.js";
import { createPeerServer } from "./peerServer.js";
import { CrashReportSync } from "./quarantine/crashReportSync.js";
import { HttpReachabilityClient } from "./reach/reachabilityClient.js";
import { LoadProbe } from "./reach/serverProbe.js";
import { ReachabilityMonitor } from "./reach/reachabilityMonitor.js";
import { Placer } from "./requests/placer.js";
import { ResponseMetadataRecorder } from "./requests/responseMetadataRecorder.js";
import { RolloutRunner } from "./rollout/rolloutRunner.js";
import { type ResolvedEdgeSettings } from "./settings.js";
import { InitialSyncGate } from "./state/initialSyncGate.js";
import { HttpRelayClient } from "./state/relayClient.js";
import { RelayServer } from "./state/relayServer.js";
import { Registration } from "./state/registration.js";
import { StateSync } from "./state/stateSync.js";
import { type StateCodec } from "./stateCodec.js";
import { EdgeLog } from "./telemetry/edgeLog.js";
import { EdgeMetrics } from "./telemetry/edgeMetrics.js";
import { StartTimeline } from "./telemetry/startTimeline.js";
import { type EdgeMetadataCodec } from "./metadataCodec.js";

/** Dependencies and settings of an edge process. */
export interface EdgeOptions {
    readonly settings: ResolvedEdgeSettings;
    readonly store: KeyValueStore;
    readonly codec: StateCodec;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Seed of the random number generator. */
    readonly seed: number;
    readonly clock?: Clock;
    /** Opens sockets to backend servers; by default a direct connection. */
    readonly connector?: ServerConnector;
}

/** A running edge process. */
export interface Edge {
    /** Opens the ports. @returns a promise that resolves once all of them are listening */
    start(): Promise<void>;
    /**
     * Stops gracefully without aborting requests in flight.
     *
     * @returns a promise that resolves once all requests are answered or the grace period has ended
     */
    stop(): Promise<void>;
}

/**
 * Creates an edge process, which routes callers' requests to backend servers and returns their responses.
 *
 * @param parts - dependencies and settings
 * @returns a process that is not started yet
 */
export function createEdge(parts: EdgeOptions): Edge {
    const { settings, store, codec, metadataCodec } = parts;
    const { name, availabilityZone } = settings;
    const clock = parts.clock ?? systemClock;
    const random = createRandomSource(parts.seed);
    const log = new EdgeLog(parts.logger, () => clock.monotonicMs());
    const metrics = new EdgeMetrics(parts.metrics);
    const view = new FleetView();
    const timeline = new StartTimeline(log);
    timeline.record("programLoaded");
    const firstReading = new InitialSyncGate(clock, () => timeline.record("stateRead"));
    const links = parts.connector ?? new DirectConnector(connectTimeoutMs, settings.servers.connectFrom);
    const connections = new ServerConnectionPool(links);
    const callers = new CallerConnections();
    const { ratio, slack, windowSeconds } = settings.repeats;
    const budget = new RepeatBudget({ ratio, slack, windowMs: windowSeconds * 1_000 }, clock.monotonicMs());
    const board = new PlacementState({
        name,
        availabilityZone,
        random,
        probesPerServerAndSecond: settings.asking.perServerAndSecond,
        startedAtMs: clock.monotonicMs(),
    });
    const notes = new ResponseMetadataRecorder({ board, connections, log, metrics });
    const reach = new ReachabilityMonitor({
        name,
        availabilityZone,
        view,
        probe: new LoadProbe({
            view,
            board,
            metadataRecorder: notes,
            connections,
            metadataCodec: metadataCodec,
            clock,
            metrics,
        }),
        reachabilityClient: new HttpReachabilityClient(),
        clock,
        random,
        log,
        metrics,
        onLinksLost: (servers, kind) => {
            // Idle connections over a failed link would be reused once the link works again.
            for (const { id } of kind === "all" ? servers : []) {
                connections.closeIdle(id);
            }
        },
        onLinksRestored: (service, servers) => board.onConnectivityRestored(service, servers.map(({ id }) => id)),
    });
    const peerConnections = new ServerConnectionPool(new DirectConnector(handoverConnectTimeoutMs));
    const placer = new Placer({
        view,
        availabilityZone,
        board,
        metadataRecorder: notes,
        connections,
        reachability: reach,
        metadataCodec: metadataCodec,
        clock,
        metrics,
        timeline,
    });
    const rollouts = new GatewayRollouts({
        name,
        incarnation: `${clock.epochMs()}-${parts.seed}`,
        view,
        random,
        exposureShare: settings.rollouts.exposureShare,
    });
    const { firstTrialSeconds, secondTrialSeconds } = settings.quarantine;
    const trialAfterMs = [firstTrialSeconds, secondTrialSeconds].map(seconds => seconds * 1_000);
    const crashes = new CrashReportSync({ name, trialAfterMs, view, store, codec, clock, random, log, metrics });
    const peers = settings.listen.peers === undefined ? undefined : parseAddress(settings.listen.peers);
    const limits = new WorkspaceLimits({
        name,
        // Short, since it is part of each datagram.
        incarnation: Math.trunc(clock.epochMs() + parts.seed).toString(36),
        view,
        clock,
        random,
        log,
        metrics,
        tolerance: settings.workspaceLimits,
        socket: new UdpSocket(peers ?? anyLoopbackPort, error => log.log("error", "unexpected", { error })),
    });
    let endsAtMs: number | undefined;
    const handler = new EdgeHandler({
        name,
        view,
        clock,
        random,
        placer,
        board,
        metadataRecorder: notes,
        connections,
        peerConnections,
        configVersionWatermark: new ConfigVersionWatermark(),
        checks: new ServerLivenessChecker(links),
        reachability: reach,
        crashReports: crashes,
        limits,
        repeatBudget: budget,
        rollouts,
        metadataCodec: metadataCodec,
        log,
        metrics,
        timeline,
        callerConnections: callers,
        firstReading,
        startGate: new StartupGate(clock),
        stopDeadlineMs: () => endsAtMs,
    });
    const callerServer = createCallerServer({
        maximumConnections: maxCallerConnections,
        maximumHeaderBytes: maxRequestHeadBytes,
        requestTimeoutMs,
        keepAliveMs: initialKeepAliveMs,
    }, (req, res) => handler.handle(req, res));

    const readiness = (): Readiness => {
        if (endsAtMs !== undefined) {
            return { ready: false, reason: "stopping" };
        }
        return view.configurationInForce === undefined
            ? { ready: false, reason: "no configuration yet" }
            : { ready: true, reason: "ready" };
    };
    const readinessServer = createReadinessServer(metadataCodec.readinessPath, readiness);
    const metricsServer = createMetricsServer(() => parts.metrics.render());

    const onChange = (): void => {
        const ids = new Set(view.knownServerIds());
        connections.retain(ids);
        board.retain(ids);
        reach.onViewChange();
        peerConnections.retain(new Set(view.registeredGateways().map(gateway => gateway.name)));
        crashes.onChange();
        registration.onViewChange();
        limits.onViewChange();
        const callerLimits = view.configurationInForce?.configuration.limits;
        if (callerLimits !== undefined) {
            callerServer.headersTimeout = callerLimits.headerTimeoutMs;
            callerServer.keepAliveTimeout = callerLimits.idleTimeoutMs;
        }
    };
    const registration = new Registration({
        name,
        registration: peers && { availabilityZone, peerAddress: { host: peers.address, port: peers.port } },
        store,
        codec,
        view,
        clock,
        random,
        log,
        metrics,
    });
    const sync = new StateSync({
        name,
        availabilityZone,
        store,
        codec,
        view,
        clock,
        random,
        log,
        metrics,
        onViewChange: onChange,
        onRelayFeedChange: () => relayServer.onFeedChange(),
        initialSyncGate: firstReading,
        relayClient: new HttpRelayClient(),
    });
    const relayServer = new RelayServer(sync);
    const rolloutSync = new RolloutRunner({ name, view, rollouts, store, codec, clock, random, log, metrics });
    const handovers = new HandoverServer({
        view,
        reachability: reach,
        handler,
        clock,
        log,
        metrics,
        isStopping: () => endsAtMs !== undefined,
    });
    const peerServer = createPeerServer({ relay: relayServer, inbox: rolloutSync, reachability: reach, handovers });

    const stop = async (): Promise<void> => {
        const beganAtMs = clock.monotonicMs();
        const graceMs = settings.stopping.graceSeconds * 1_000;
        const lastMs = beganAtMs + graceMs - stopMarginMs;
        endsAtMs = lastMs;
        log.log("info", "stopping", { unanswered: callers.unanswered, graceMs });
        callers.beginDrain();
        relayServer.stop();
        limits.beginDrain();
        registration.stop();
        // The balancer still sends callers until it has detected the stop; these are served, not refused.
        await sleep(Math.max(Math.min(balancerDetectionMs, graceMs * stopAcceptShare), 0));
        callers.closeIdle(callerServer);
        while (callers.unanswered > 0 && clock.monotonicMs() < lastMs + stopMarginMs / 2) {
            await sleep(stopPollPeriodMs);
        }
        sync.stop();
        rolloutSync.stop();
        crashes.stop();
        limits.stop();
        reach.stop();
        connections.close();
        peerConnections.close();
        callerServer.closeAllConnections();
        peerServer.close();
        peerServer.closeAllConnections();
        readinessServer.close();
        metricsServer.close();
        log.log("info", "stopped", { unanswered: callers.unanswered });
    };

    return {
        start: async () => {
            if (peers !== undefined) {
                await listen(peerServer, peers);
            }
            sync.start();
            registration.start();
            rolloutSync.start();
            await listen(readinessServer, parseAddress(settings.listen.readiness));
            await listen(metricsServer, parseAddress(settings.listen.metrics));
            await listen(callerServer, parseAddress(settings.listen.callers));
            timeline.record("portsOpen");
            log.log("info", "started", { name, availabilityZone, callers: settings.listen.callers });
        },
        stop,
    };
}

/** Used by a gateway without a peer address, which enforces rate limits on its own. */
const anyLoopbackPort: ListenAddress = { address: "127.0.0.1", port: 0 };

function parseAddress(text: string): ListenAddress {
    const colon = text.lastIndexOf(":");
    return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
