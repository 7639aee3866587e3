import { type SendEnd, type ServerStatus } from "@galenaglade/placement";
import { type SimulatedGateway } from "./simulatedGateway.js";
import { type ArrivalResult, type ServerJob, type SimulatedServer } from "./simulatedServer.js";

/** Callbacks of a send. */
export interface SendCallbacks {
    /** Whether the response is still needed; checked when the request reaches the server. */
    readonly isNeeded: () => boolean;
    readonly onArrival: () => void;
    /** @param status - the server's status, if its response contained it */
    readonly onEnded: (end: SendEnd, status: ServerStatus | undefined) => void;
    /** The server rejected the request and asked the gateway to back off. */
    readonly onBackoff: (backoffMs: number) => void;
}

/** One send of a request from a gateway to a server, up to its response. */
export class ServerSend {
    readonly #gateway: SimulatedGateway;
    readonly #server: SimulatedServer;
    readonly #workMs: number;
    readonly #callbacks: SendCallbacks;
    #job: ServerJob | undefined;

    constructor(gateway: SimulatedGateway, server: SimulatedServer, workMs: number, callbacks: SendCallbacks) {
        this.#gateway = gateway;
        this.#server = server;
        this.#workMs = workMs;
        this.#callbacks = callbacks;
    }

    start(): void {
        const gateway = this.#gateway;
        gateway.execute(gateway.costs.sendMs, () => {
            gateway.schedule(acquireConnection(gateway, this.#server), () => this.#arrive());
        });
    }

    /** Cancels the request at the server, which frees its slot. */
    abandon(): void {
        if (this.#job !== undefined) {
            this.#server.abandon(this.#job);
        }
    }

    #arrive(): void {
        if (!this.#callbacks.isNeeded()) {
            return;
        }
        this.#callbacks.onArrival();
        if (this.#server.isDown) {
            this.#callbacks.onEnded({ type: "notRun", reason: "connectFailed" }, undefined);
            return;
        }
        const job: ServerJob = {
            workMs: this.#workMs,
            onDone: () => this.#respond({ type: "answered", status: 200 }, this.#server.createStatus(true)),
        };
        const arrival = this.#server.receive(job, this.#gateway.name);
        if (arrival === "taken") {
            this.#job = job;
            return;
        }
        this.#respond(resolveEnd(arrival), undefined, this.#server.backoffMs);
    }

    #respond(end: SendEnd, status: ServerStatus | undefined, backoffMs?: number): void {
        const gateway = this.#gateway;
        gateway.schedule(
            oneWayLatencyMs(gateway, this.#server),
            () => {
                if (status?.limit?.type === "named") {
                    this.#server.onLimitDelivered(gateway.name);
                }
                gateway.execute(gateway.costs.answerMs, () => {
                    if (backoffMs !== undefined) {
                        this.#callbacks.onBackoff(backoffMs);
                    }
                    this.#callbacks.onEnded(end, status);
                });
            },
        );
    }
}

/** @returns one-way network latency between a gateway and a server, in milliseconds */
export function oneWayLatencyMs({ zone, costs }: SimulatedGateway, { registered }: SimulatedServer): number {
    return registered.availabilityZone === zone ? costs.nearMs : costs.farMs;
}

/**
 * Takes an idle connection to a server or opens a new one.
 *
 * @returns time until a message sent now reaches the server, in milliseconds
 */
export function acquireConnection(gateway: SimulatedGateway, server: SimulatedServer): number {
    const latencyMs = oneWayLatencyMs(gateway, server);
    return gateway.connections.acquire(server.id, gateway.events.nowMs)
        ? 3 * latencyMs + gateway.costs.connectMs
        : latencyMs;
}

function resolveEnd(arrival: Exclude<ArrivalResult, "taken">): SendEnd {
    return arrival === "reset"
        ? { type: "unknown", reason: "connectionLost" }
        : { type: "notRun", reason: "turnedAway" };
}
