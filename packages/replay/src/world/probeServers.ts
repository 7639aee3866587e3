import { type RegisteredServer } from "@galenaglade/fleet-state";
import { isGood, scoreServer, type ServerStatus } from "@galenaglade/placement";
import { acquireConnection, oneWayLatencyMs } from "./serverSend.js";
import { type SimulatedGateway } from "./simulatedGateway.js";
import { type SimulatedServer } from "./simulatedServer.js";

/** One round of load probes to several servers. */
export interface ProbeRound {
    readonly gateway: SimulatedGateway;
    readonly service: string;
    readonly servers: readonly RegisteredServer[];
    readonly timeoutMs: number;
    /** Called once: when a server reports good status, or when all have responded or timed out. */
    readonly onResult: () => void;
}

/**
 * Probes several servers concurrently, as the edge process does. Timeouts count as failures of the servers only if
 * another server responded or a single one was probed. Otherwise the gateway itself was slow or disconnected, and all
 * servers would become suspects at once.
 */
export function probeServers(round: ProbeRound): void {
    const { gateway, service, servers, timeoutMs, onResult } = round;
    const unresponsive: string[] = [];
    let answered = 0;
    let isReported = false;
    const onEnded = (id: string, status: ServerStatus | undefined): void => {
        if (status === undefined) {
            unresponsive.push(id);
        }
        else {
            answered++;
        }
        const allEnded = answered + unresponsive.length === servers.length;
        if (allEnded && (answered > 0 || unresponsive.length === 1)) {
            unresponsive.forEach(each => gateway.placementState.onFailure(service, each, gateway.events.nowMs));
        }
        if (!isReported && (allEnded || (status !== undefined && isGoodStatus(status)))) {
            isReported = true;
            onResult();
        }
    };
    for (const { id } of servers) {
        const server = gateway.directory.get(id);
        if (server !== undefined) {
            probeServer(round, server, timeoutMs, status => onEnded(id, status));
        }
    }
}

function probeServer(
    { gateway, service }: ProbeRound,
    server: SimulatedServer,
    timeoutMs: number,
    onEnded: (status: ServerStatus | undefined) => void,
): void {
    const { costs, events } = gateway;
    const sentAtMs = events.nowMs;
    let isOver = false;
    const end = (status: ServerStatus | undefined): void => {
        if (!isOver) {
            isOver = true;
            onEnded(status);
        }
    };
    gateway.schedule(timeoutMs, () => gateway.execute(0, () => end(undefined)));
    gateway.execute(costs.probeMs, () => {
        gateway.schedule(acquireConnection(gateway, server), () => {
            if (server.isDown) {
                return;
            }
            const status = server.probe();
            gateway.schedule(oneWayLatencyMs(gateway, server), () =>
                gateway.execute(costs.probeMs, () => {
                    if (!isOver) {
                        gateway.connections.release(server.id, events.nowMs);
                        gateway.placementState.onProbeResponse(service, status, sentAtMs);
                    }
                    end(status);
                }));
        });
    });
}

function isGoodStatus(status: ServerStatus): boolean {
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
