import { type ServerReadiness } from "@galenaglade/cold-start";
import { FailureError } from "@galenaglade/errors";
import { resolveFleetTimings } from "@galenaglade/membership";
import { createFleetMembership, type FleetMembership } from "@galenaglade/peers";
import { HttpHostList, HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { createRoutingPolicy, ServerLoadTracker, type ServerId } from "@galenaglade/routing";
import { type Program, type ResolvedGatewaySettings } from "@galenaglade/settings";
import { createLogger, createMetrics, createTracing } from "@galenaglade/telemetry";
import { randomInt, randomUUID } from "node:crypto";
import { defaultRoutingPolicy, loadPublishPeriodMs, traceSampleRatio } from "./constants.js";
import { systemClock } from "@galenaglade/http-parts";
import { ColdStartGate } from "./coldStart/coldStartGate.js";
import { FleetColdStartPeers, formatIncarnationId } from "./coldStart/fleetPeers.js";
import { createGateway } from "./gateway.js";
import { describeServers } from "./operations/serverObservations.js";
import { RequestClaims } from "./requests/requestClaims.js";

/**
 * Creates the gateway process from its settings.
 *
 * @param settings - validated settings
 * @param policyName - name of the routing policy; values other than the default serve to compare policies
 * @returns the program, not started
 */
export function createGatewayProcess(
    settings: ResolvedGatewaySettings,
    policyName: string = defaultRoutingPolicy,
): Program {
    const logger = createLogger({ process: settings.name, level: settings.logging.level });
    const metrics = createMetrics("galenaglade-gateway");
    const tracing = createTracing({ process: settings.name, samplingRatio: traceSampleRatio, logger });
    const connection = new PlatformClient({
        addresses: [settings.platform.address],
        client: settings.name,
        timeoutMs: settings.platform.callTimeoutMs,
    });
    const store = new HttpKeyValueStore(connection);
    const incarnation = randomUUID();
    const self = formatIncarnationId({ name: settings.name, incarnation });
    const fleet = createFleetMembership({
        store,
        incarnation,
        hosts: new HttpHostList(connection),
        name: settings.name,
        availabilityZone: settings.availabilityZone,
        listen: { host: settings.peers.address, port: settings.peers.port },
        seeds: settings.peers.seeds,
        fleetKey: settings.fleetKey.reveal(),
        timings: resolveFleetTimings(settings.freshness.maximumAgeMs),
    });
    const board = new ServerLoadTracker();
    const stopLoadExchange = startLoadExchange(fleet, board);
    const gate = settings.coldStart.enforced
        ? new ColdStartGate({ self, clock: systemClock, store, peers: new FleetColdStartPeers(fleet) })
        : undefined;
    if (gate !== undefined) {
        fleet.setColdStartHandler(heartbeat => gate.onHeartbeat(heartbeat));
    }
    const stateOf = (serverId: ServerId): ServerReadiness | undefined => gate?.permitGate.getReadiness(serverId);
    fleet.setObservationHandler(service =>
        describeServers({ configuration: fleet.current(), board, stateOf }, service, performance.now())
    );
    const gateway = createGateway({
        availabilityZone: settings.availabilityZone,
        callers: settings.callers,
        operations: settings.operations,
        stopping: settings.stopping,
        configurationSource: fleet,
        policy: createPolicyOrThrow(policyName),
        seed: randomInt(2 ** 31),
        logger,
        metrics,
        tracing,
        board,
        ...(gate === undefined ? {} : { gate }),
        claims: new RequestClaims({ store, holder: self, clock: systemClock }),
    });
    return {
        logger,
        name: settings.name,
        start: async () => {
            const joined = await fleet.start();
            joined.ifLeft(failure => {
                throw new FailureError(failure);
            });
            const { callersPort } = await gateway.start();
            return `http://${settings.callers.address}:${callersPort}`;
        },
        stop: async () => {
            await gateway.stop();
            stopLoadExchange();
            await fleet.stop();
            await connection.close();
            await tracing.shutdown();
            await metrics.shutdown();
        },
    };
}

/** Exchanges in-flight counts with peers. @returns a function that stops publishing this gateway's counts */
function startLoadExchange(fleet: FleetMembership, board: ServerLoadTracker): () => void {
    fleet.onLoads((loads, from) => {
        for (const load of loads) {
            board.onPeerLoad(from.name, load, performance.now());
        }
    });
    const timer = setInterval(() => fleet.publishLoads(board.ownLoads(performance.now())), loadPublishPeriodMs);
    return () => clearInterval(timer);
}

function createPolicyOrThrow(name: string): NonNullable<ReturnType<typeof createRoutingPolicy>> {
    const policy = createRoutingPolicy(name);
    if (policy === undefined) {
        throw new Error(`no routing policy is named ${name}`);
    }
    return policy;
}
