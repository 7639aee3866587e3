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
export function probeServers(probe: ProbeRound): void {
    const { gateway, service, servers, timeoutMs, onResult } = probe;
    const silent: string[] = [];
    let answered = 0;
    let isKnown = false;
    const onEnded = (id: string, offer: ServerStatus | undefined): void => {
        if (offer === undefined) {
            silent.push(id);
        }
        else {
            answered++;
        }
        const allEnded = answered + silent.length === servers.length;
        if (allEnded && (answered > 0 || silent.length === 1)) {
            silent.forEach(each => gateway.placementState.onFailure(service, each, gateway.events.nowMs));
        }
        if (!isKnown && (allEnded || (offer !== undefined && isGoodOffer(offer)))) {
            isKnown = true;
            onResult();
        }
    };
    for (const { id } of servers) {
        const server = gateway.directory.get(id);
        if (server !== undefined) {
            askOne(probe, server, timeoutMs, offer => onEnded(id, offer));
        }
    }
}

function askOne(
    { gateway, service }: ProbeRound,
    server: SimulatedServer,
    timeoutMs: number,
    onEnded: (offer: ServerStatus | undefined) => void,
): void {
    const { costs, events } = gateway;
    const askedAtMs = events.nowMs;
    let isOver = false;
    const end = (offer: ServerStatus | undefined): void => {
        if (!isOver) {
            isOver = true;
            onEnded(offer);
        }
    };
    gateway.schedule(timeoutMs, () => gateway.execute(0, () => end(undefined)));
    gateway.execute(costs.probeMs, () => {
        gateway.schedule(acquireConnection(gateway, server), () => {
            if (server.isDown) {
                return;
            }
            const offer = server.probe();
            gateway.schedule(oneWayLatencyMs(gateway, server), () =>
                gateway.execute(costs.probeMs, () => {
                    if (!isOver) {
                        gateway.connections.release(server.id, events.nowMs);
                        gateway.placementState.onProbeResponse(service, offer, askedAtMs);
                    }
                    end(offer);
                }));
        });
    });
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
