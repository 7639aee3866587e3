import { type SendEnd, type ServerStatus } from "@galenaglade/placement";
import { type SimulatedGateway } from "./simulatedGateway.js";
import { type ArrivalResult, type ServerJob, type SimulatedServer } from "./simulatedServer.js";

/** What a send tells whoever made it. */
export interface SendCallbacks {
    /** Whether anybody still waits for it. */
    readonly isNeeded: () => boolean;
    readonly onArrival: () => void;
    /** @param offer - the server's load, where its answer told it */
    readonly onEnded: (end: SendEnd, offer: ServerStatus | undefined) => void;
    /** The server turned the request away and wants rest. */
    readonly onBackoff: (restMs: number) => void;
}

/** One request on its way from a gateway to a server and back. */
export class ServerSend {
    readonly #gateway: SimulatedGateway;
    readonly #server: SimulatedServer;
    readonly #workMs: number;
    readonly #events: SendCallbacks;
    #job: ServerJob | undefined;

    constructor(gateway: SimulatedGateway, server: SimulatedServer, workMs: number, events: SendCallbacks) {
        this.#gateway = gateway;
        this.#server = server;
        this.#workMs = workMs;
        this.#events = events;
    }

    start(): void {
        const gateway = this.#gateway;
        gateway.execute(gateway.costs.sendMs, () => {
            gateway.schedule(acquireConnection(gateway, this.#server), () => this.#arrive());
        });
    }

    /** Nobody waits for it any more: its slot is free. */
    abandon(): void {
        if (this.#job !== undefined) {
            this.#server.abandon(this.#job);
        }
    }

    #arrive(): void {
        if (!this.#events.isNeeded()) {
            return;
        }
        this.#events.onArrival();
        if (this.#server.isDown) {
            this.#events.onEnded({ type: "notRun", reason: "connectFailed" }, undefined);
            return;
        }
        const job: ServerJob = {
            workMs: this.#workMs,
            onDone: () => this.#passBack({ type: "answered", status: 200 }, this.#server.createStatus(true)),
        };
        const arrival = this.#server.receive(job, this.#gateway.name);
        if (arrival === "taken") {
            this.#job = job;
            return;
        }
        this.#passBack(resolveEnd(arrival), undefined, this.#server.backoffMs);
    }

    #passBack(end: SendEnd, offer: ServerStatus | undefined, restMs?: number): void {
        const gateway = this.#gateway;
        gateway.schedule(
            oneWayLatencyMs(gateway, this.#server),
            () => {
                if (offer?.limit?.type === "named") {
                    this.#server.onLimitDelivered(gateway.name);
                }
                gateway.execute(gateway.costs.answerMs, () => {
                    if (restMs !== undefined) {
                        this.#events.onBackoff(restMs);
                    }
                    this.#events.onEnded(end, offer);
                });
            },
        );
    }
}

/** @returns time of one way between a gateway and a server, in milliseconds */
export function oneWayLatencyMs({ zone, costs }: SimulatedGateway, { registered }: SimulatedServer): number {
    return registered.availabilityZone === zone ? costs.nearMs : costs.farMs;
}

/** @returns how long it takes to reach a server, over a kept connection or a new one, in milliseconds */
export function acquireConnection(gateway: SimulatedGateway, server: SimulatedServer): number {
    const way = oneWayLatencyMs(gateway, server);
    return gateway.connections.acquire(server.id, gateway.events.nowMs) ? 3 * way + gateway.costs.connectMs : way;
}

function resolveEnd(arrival: Exclude<ArrivalResult, "taken">): SendEnd {
    return arrival === "reset"
        ? { type: "unknown", reason: "connectionLost" }
        : { type: "notRun", reason: "turnedAway" };
}
