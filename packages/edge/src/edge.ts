import { FleetView } from "@galenaglade/fleet-state";
import {
    CallerMemory,
    type Clock,
    ConnectionTracker,
    createCallerServer,
    listen,
    type ListenAddress,
    resetConnection,
    resetReasonOf,
    sleep,
    systemClock,
} from "@galenaglade/http-parts";
import { PlacementState, RepeatBudget } from "@galenaglade/placement";
import { type KeyValueStore } from "@galenaglade/platform";
import { GatewayRollouts } from "@galenaglade/rollout";
import { createRandomSource } from "@galenaglade/routing";
import { type LogFields, type Logger, type Metrics } from "@galenaglade/telemetry";
import { type Socket } from "node:net";
import { ServerLivenessChecker } from "./backends/serverLivenessChecker.js";
import { ServerConnectionPool } from "./backends/serverConnectionPool.js";
import { DirectConnector, type ServerConnector } from "./backends/serverConnector.js";
import { CallerConnections, type PendingResponse } from "./callers/callerConnections.js";
import { EdgeHandler } from "./callers/edgeHandler.js";
import { StartupGate } from "./callers/startupGate.js";
import { createMetricsServer, createReadinessServer, type Readiness } from "./callers/readinessServer.js";
import {
    acceptQuietMs,
    connectTimeoutMs,
    handoverConnectTimeoutMs,
    initialKeepAliveMs,
    maxRequestHeadBytes,
    minStopIdleMs,
    requestTimeoutMs,
    stopLatencyFactor,
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
import { RepeatAdmission } from "./requests/repeatAdmission.js";
import { ResponseMetadataRecorder } from "./requests/responseMetadataRecorder.js";
import { RolloutRunner } from "./rollout/rolloutRunner.js";
import { bytesPerMegabyte, type ResolvedEdgeSettings } from "./settings.js";
import { InitialSyncGate } from "./state/initialSyncGate.js";
import { HttpRelayClient } from "./state/relayClient.js";
import { RelayServer } from "./state/relayServer.js";
import { Registration } from "./state/registration.js";
import { StateSync } from "./state/stateSync.js";
import { type StateCodec } from "./stateCodec.js";
import { EdgeLog } from "./telemetry/edgeLog.js";
import { EdgeMetrics } from "./telemetry/edgeMetrics.js";
import { StopPlan } from "./stopping/stopPlan.js";
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
 * @param options - dependencies and settings
 * @returns a process that is not started yet
 */
export function createEdge(options: EdgeOptions): Edge {
    const { settings, store, codec, metadataCodec } = options;
    const { name, availabilityZone } = settings;
    const clock = options.clock ?? systemClock;
    const random = createRandomSource(options.seed);
    const log = new EdgeLog(options.logger, () => clock.monotonicMs());
    const metrics = new EdgeMetrics(options.metrics);
    const view = new FleetView();
    const timeline = new StartTimeline(log);
    timeline.record("programLoaded");
    const initialSyncGate = new InitialSyncGate(clock, () => timeline.record("stateRead"));
    const connector = options.connector ?? new DirectConnector(connectTimeoutMs, settings.servers.connectFrom);
    const connections = new ServerConnectionPool(connector);
    const logPending = (
        event: "responseCut" | "unansweredAtStop",
        { req, ageMs, state, unsentBytes }: PendingResponse,
    ): void => {
        const { requestId } = metadataCodec.readRequest(req.rawHeaders);
        const sinceStopMs = stopPlan && Math.round(clock.monotonicMs() - stopPlan.startedAtMs);
        log.log("warn", event, { requestId, state, ageMs, unsentBytes, sinceStopMs });
    };
    const callerConnections = new CallerConnections(() => clock.monotonicMs(), (pending, closedBy) => {
        metrics.onResponseUndelivered(pending.state, closedBy);
        if (closedBy === "gateway") {
            logPending("responseCut", pending);
        }
    });
    const { ratio, slack, windowSeconds } = settings.repeats;
    const repeatBudget = new RepeatBudget({ ratio, slack, windowMs: windowSeconds * 1_000 }, name, clock.monotonicMs());
    const board = new PlacementState({
        name,
        availabilityZone,
        random,
        probesPerServerAndSecond: settings.asking.perServerAndSecond,
        startedAtMs: clock.monotonicMs(),
    });
    const metadataRecorder = new ResponseMetadataRecorder({ placementState: board, connections, log, metrics });
    const reachability = new ReachabilityMonitor({
        name,
        availabilityZone,
        view,
        probe: new LoadProbe({
            view,
            placementState: board,
            metadataRecorder,
            connections,
            metadataCodec,
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
        placementState: board,
        metadataRecorder,
        connections,
        reachability,
        metadataCodec,
        clock,
        log,
        metrics,
        timeline,
    });
    const rollouts = new GatewayRollouts({
        name,
        incarnation: `${clock.epochMs()}-${options.seed}`,
        view,
        random,
        exposureShare: settings.rollouts.exposureShare,
    });
    const { firstTrialSeconds, secondTrialSeconds } = settings.quarantine;
    const trialAfterMs = [firstTrialSeconds, secondTrialSeconds].map(seconds => seconds * 1_000);
    const crashReports = new CrashReportSync({ name, trialAfterMs, view, store, codec, clock, random, log, metrics });
    const peerAddress = settings.listen.peers === undefined ? undefined : parseAddress(settings.listen.peers);
    const limits = new WorkspaceLimits({
        name,
        // Short, since it is part of each datagram.
        incarnation: Math.trunc(clock.epochMs() + options.seed).toString(36),
        view,
        clock,
        random,
        log,
        metrics,
        tolerance: settings.workspaceLimits,
        socket: new UdpSocket(peerAddress ?? anyLoopbackPort, error => log.log("error", "unexpected", { error })),
    });
    let stopPlan: StopPlan | undefined;
    const handler = new EdgeHandler({
        name,
        view,
        clock,
        random,
        placer,
        placementState: board,
        metadataRecorder,
        connections,
        peerConnections,
        configVersionWatermark: new ConfigVersionWatermark(),
        livenessChecker: new ServerLivenessChecker(connector),
        reachability,
        crashReports,
        limits,
        repeats: new RepeatAdmission({ budget: repeatBudget, view, clock, log, metrics }),
        rollouts,
        metadataCodec,
        log,
        metrics,
        timeline,
        callerConnections,
        initialSyncGate: initialSyncGate,
        startupGate: new StartupGate(clock),
        stopPlan: () => stopPlan,
        maySend: ({ rules, route }) => {
            const expectedMs = board.typicalLatency.of(rules.name, route.objectiveMs) * stopLatencyFactor;
            return stopPlan?.maySend(clock.monotonicMs(), expectedMs) ?? true;
        },
    });
    const { maxConnections, maxHeldMegabytes, maxRequestsAhead } = settings.callers;
    const callerMemory = new CallerMemory(
        { maxBytes: maxHeldMegabytes * bytesPerMegabyte, maxRequestsAhead },
        reclaimed => {
            metrics.onCallerMemoryReclaimed(reclaimed.use, reclaimed.action);
            log.log("warn", "callerMemoryReclaimed", { ...reclaimed });
        },
        () => clock.monotonicMs(),
    );
    const callerServer = createCallerServer({
        maximumConnections: maxConnections,
        maximumHeaderBytes: maxRequestHeadBytes,
        requestTimeoutMs,
        keepAliveMs: initialKeepAliveMs,
        mayRefuse: res => handler.hasNotRun(res),
        memory: callerMemory,
    }, (req, res) => handler.handle(req, res));
    const callerSockets = new ConnectionTracker(callerServer, () => clock.monotonicMs());
    callerServer.on("connection", (socket: Socket) => {
        socket.once("close", () => {
            const reason = resetReasonOf(socket);
            if (reason !== undefined) {
                metrics.onCallerConnectionReset(reason);
            }
        });
    });
    metrics.observeDescriptors();
    metrics.observeCallerMemory(() => callerMemory.heldBytes);
    metrics.observeCallerConnections(() => ({
        open: callerSockets.openCount,
        closing: callerSockets.closingCount,
    }));

    const readiness = (): Readiness => {
        if (stopPlan !== undefined) {
            return { ready: false, reason: "stopping" };
        }
        return view.configurationInForce === undefined
            ? { ready: false, reason: "no configuration yet" }
            : { ready: true, reason: "ready" };
    };
    const readinessServer = createReadinessServer(metadataCodec.readinessPath, readiness);
    const metricsServer = createMetricsServer(() => options.metrics.render());

    const onViewChange = (): void => {
        const ids = new Set(view.knownServerIds());
        connections.retain(ids);
        board.retain(ids);
        reachability.onViewChange();
        peerConnections.retain(new Set(view.registeredGateways().map(gateway => gateway.name)));
        crashReports.onChange();
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
        registration: peerAddress
            && { availabilityZone, peerAddress: { host: peerAddress.address, port: peerAddress.port } },
        store,
        codec,
        view,
        clock,
        random,
        log,
        metrics,
    });
    const stateSync = new StateSync({
        name,
        availabilityZone,
        store,
        codec,
        view,
        clock,
        random,
        log,
        metrics,
        onViewChange,
        onRelayFeedChange: () => relayServer.onFeedChange(),
        initialSyncGate,
        relayClient: new HttpRelayClient(),
    });
    const relayServer = new RelayServer(stateSync);
    const rolloutSync = new RolloutRunner({ name, view, rollouts, store, codec, clock, random, log, metrics });
    const handovers = new HandoverServer({
        view,
        reachability,
        handler,
        clock,
        log,
        metrics,
        isStopping: () => stopPlan !== undefined,
    });
    const peerServer = createPeerServer({
        relay: relayServer,
        inbox: rolloutSync,
        reachability,
        handovers,
        memory: callerMemory,
    });

    /** Waits until all requests are answered and the callers have closed their connections. */
    const whenAnswered = async (plan: StopPlan): Promise<void> => {
        for (;;) {
            const nowMs = clock.monotonicMs();
            callerSockets.closeIdle(minStopIdleMs);
            const waitsForRequests = nowMs < plan.admitUntilMs && callerSockets.openCount > 0;
            const isDone = callerConnections.unanswered === 0 && callerSockets.closingCount === 0 && !waitsForRequests;
            if (isDone || nowMs >= plan.endByMs) {
                return;
            }
            await sleep(stopPollPeriodMs);
        }
    };

    const stop = async (): Promise<void> => {
        const graceMs = settings.stopping.graceSeconds * 1_000;
        const plan = new StopPlan(clock.monotonicMs(), graceMs);
        stopPlan = plan;
        const describe = (): LogFields => ({
            unanswered: callerConnections.unanswered,
            connections: callerSockets.openCount,
            elapsedMs: Math.round(clock.monotonicMs() - plan.startedAtMs),
        });
        log.log("info", "stopping", { ...describe(), graceMs });
        handler.beginStop(plan);
        callerConnections.beginDrain();
        relayServer.stop();
        limits.beginDrain();
        registration.stop();
        // The balancer still sends callers until it has detected the stop; these are served, not refused.
        await sleep(plan.listenUntilMs - clock.monotonicMs());
        // One connection is accepted in each turn of the event loop: on a busy host, others may be waiting.
        while (
            clock.monotonicMs() < plan.admitUntilMs
            && clock.monotonicMs() - callerSockets.lastAcceptedAtMs < acceptQuietMs
        ) {
            await sleep(stopPollPeriodMs);
        }
        log.log("info", "listenerClosing", describe());
        callerSockets.stopListening();
        callerConnections.seal();
        await whenAnswered(plan);
        for (const pending of callerConnections.listPending()) {
            logPending("unansweredAtStop", pending);
            if (pending.state === "responding") {
                // A close would look like the end of a response without a length.
                resetConnection(pending.req.socket, "stopping");
            }
        }
        stateSync.stop();
        rolloutSync.stop();
        crashReports.stop();
        limits.stop();
        reachability.stop();
        connections.close();
        peerConnections.close();
        callerServer.closeAllConnections();
        peerServer.close();
        peerServer.closeAllConnections();
        readinessServer.close();
        metricsServer.close();
        log.log("info", "stopped", { ...describe(), ignored: callerConnections.ignored });
    };

    return {
        start: async () => {
            if (peerAddress !== undefined) {
                await listen(peerServer, peerAddress);
            }
            stateSync.start();
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
