import {
    type CallerServerOptions,
    type Clock,
    ConnectionTracker,
    createCallerServer,
    listen,
    type ListenAddress,
    lingerIdleMs,
    waitAtMost,
    sleep,
    systemClock,
} from "@galenaglade/http-parts";
import { createRandomSource, type RoutingPolicy, ServerLoadTracker } from "@galenaglade/routing";
import { type Logger, type Metrics, type Tracing } from "@galenaglade/telemetry";
import { BackendConnections } from "./backends/backendConnections.js";
import { CallerHandler } from "./callers/callerHandler.js";
import { callerKeepAliveMs, closePollPeriodMs } from "./constants.js";
import { type ConfigurationSource } from "./configurationSource.js";
import { createOperationsServer } from "./operations/operationsServer.js";
import { Forwarder } from "./requests/forwarder.js";
import { type RequestClaims } from "./requests/requestClaims.js";
import { Scheduler } from "./requests/scheduler.js";
import { AllowAllGate, type ServerGate } from "./requests/serverGate.js";
import { createServiceTable, type ServiceTable } from "./requests/serviceTable.js";
import { RequestTelemetry } from "./telemetry/requestTelemetry.js";

/** Options and dependencies of a gateway. */
export interface GatewayOptions {
    readonly availabilityZone: string;
    readonly callers: ListenAddress & Omit<CallerServerOptions, "keepAliveMs">;
    readonly operations: ListenAddress;
    readonly stopping: {
        /** Time that the platform's load balancer needs to detect that this host is not ready, in milliseconds. */
        readonly balancerWaitMs: number;
        /** Maximum time to wait for requests in flight, in milliseconds. */
        readonly drainMs: number;
    };
    readonly configurationSource: ConfigurationSource;
    readonly policy: RoutingPolicy;
    /** Seed of the random numbers for routing. */
    readonly seed: number;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly tracing: Tracing;
    readonly clock?: Clock;
    readonly gate?: ServerGate;
    readonly board?: ServerLoadTracker;
    /** Claims idempotency keys. Without it, non-idempotent requests that carry a key are refused. */
    readonly claims?: RequestClaims;
}

/** A running gateway. */
export interface Gateway {
    /** Opens the ports. @returns the ports that were bound */
    start(): Promise<{ readonly callersPort: number; readonly operationsPort: number; }>;
    /** Performs a planned stop. @returns once all requests in flight are answered, or the drain timeout has passed */
    stop(): Promise<void>;
}

/**
 * Creates a gateway, which forwards callers' requests to backend servers and returns the responses.
 *
 * @param options - options and dependencies
 * @returns a gateway that is not started yet
 */
export function createGateway(options: GatewayOptions): Gateway {
    const clock = options.clock ?? systemClock;
    const board = options.board ?? new ServerLoadTracker();
    const connections = new BackendConnections();
    const telemetry = new RequestTelemetry(options.tracing, options.metrics);
    const gate = options.gate ?? new AllowAllGate();
    let table: ServiceTable | undefined;
    let stopping = false;
    let stopped: Promise<void> | undefined;

    // Without peer contact the gate admits no request. A request that waited for contact could time out here while
    // another gateway could serve it, so it is refused at once and this host reports that it is not ready.
    const mayTakeNewWork = (): boolean =>
        options.configurationSource.mayTakeNewWork() && gate.hasPeerContact(clock.monotonicMs());
    const scheduler = new Scheduler({
        clock,
        board,
        policy: options.policy,
        random: createRandomSource(options.seed),
        gate,
        availabilityZone: options.availabilityZone,
        table: () => table,
        mayTakeNewWork,
    });
    const forwarder = new Forwarder({
        clock,
        scheduler,
        board,
        connections,
        telemetry,
        mayTakeNewWork,
        claims: options.claims,
    });
    const handler = new CallerHandler({
        clock,
        forwarder,
        telemetry,
        logger: options.logger,
        table: () => table,
        mayTakeNewWork,
    });
    const callerServer = createCallerServer(
        { ...options.callers, keepAliveMs: callerKeepAliveMs },
        (req, res) => handler.handle(req, res),
    );
    const callerSockets = new ConnectionTracker(callerServer);
    const operationsServer = createOperationsServer({
        readiness: () => resolveReadiness(stopping, table, mayTakeNewWork()),
        renderMetrics: () => options.metrics.render(),
    });

    const applyConfiguration = (): void => {
        const revised = options.configurationSource.current();
        if (revised === undefined || revised.revision === table?.revision) {
            return;
        }
        table = createServiceTable(revised);
        connections.retain(table);
        gate.onConfiguration(revised);
        scheduler.dispatchQueued();
        options.logger.info("configuration in force", { revision: revised.revision });
    };

    const stop = async (): Promise<void> => {
        stopping = true;
        handler.beginDrain();
        // The load balancer sends new callers until it detects that this host is not ready; they are still served.
        await sleep(options.stopping.balancerWaitMs);
        const idle = handler.stop();
        callerSockets.stopListening();
        callerSockets.closeIdle(0);
        await waitAtMost(idle, options.stopping.drainMs);
        // Closed connections are read until their callers close them, so that none is reset with its last response.
        for (
            let waitedMs = 0;
            callerSockets.closingCount > 0 && waitedMs < lingerIdleMs;
            waitedMs += closePollPeriodMs
        ) {
            await sleep(closePollPeriodMs);
        }
        callerServer.closeAllConnections();
        await waitAtMost(connections.close(), options.stopping.drainMs);
        // Stopping the gate revokes the lease that its permits depend on, so all requests must have ended before.
        await waitAtMost(gate.stop(), options.stopping.drainMs);
        if (options.claims !== undefined) {
            await waitAtMost(options.claims.whenIdle(), options.stopping.drainMs);
            options.claims.stop();
        }
        operationsServer.close();
        operationsServer.closeAllConnections();
    };

    return {
        start: async () => {
            options.configurationSource.onConfiguration(applyConfiguration);
            applyConfiguration();
            gate.start(() => scheduler.dispatchQueued());
            const operationsPort = await listen(operationsServer, options.operations);
            const callersPort = await listen(callerServer, options.callers);
            return { callersPort, operationsPort };
        },
        stop: () => {
            stopped ??= stop();
            return stopped;
        },
    };
}

function resolveReadiness(
    stopping: boolean,
    table: ServiceTable | undefined,
    fresh: boolean,
): { readonly ready: boolean; readonly reason: string; } {
    if (stopping) {
        return { ready: false, reason: "stopping" };
    }
    if (table === undefined) {
        return { ready: false, reason: "no configuration yet" };
    }
    return fresh ? { ready: true, reason: "ready" } : { ready: false, reason: "the configuration is not fresh" };
}
