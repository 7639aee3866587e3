import { type ServerId } from "@galenaglade/routing";
import { type KeyValueEngine } from "@galenaglade/stand-ins";
import {
    type ServerMetadata,
    type ColdStartHeartbeat,
    createServerPermitGate,
    type GatedServer,
    type GatewayRoster,
    emptyServerMetadata,
    type ServerPermitGate,
    type StoreCommand,
    type StoreOutcome,
} from "../index.js";

/** Creates the metadata of a server's response. */
export function createMetadata(state: ServerMetadata["state"], more: Partial<ServerMetadata> = {}): ServerMetadata {
    return { ...emptyServerMetadata, state, ...more };
}

/** Creates a declared server with the limits that the tests expect. */
export function createServer(serverId: ServerId, more: Partial<GatedServer["limits"]> = {}): GatedServer {
    const limits = {
        concurrency: 1,
        slots: 3,
        answersToWarm: 3,
        idleMs: 60_000,
        maxPatienceMs: 20_000,
        ...more,
    };
    return { serverId, limits, isZoneInService: true };
}

/** Drives one gate with a store that replies immediately and peers whose responses the test determines. */
export class GateDriver {
    readonly self: string;
    readonly gate: ServerPermitGate;
    isStoreUp = true;
    /** Whether time steps call `tick`; otherwise they only run heartbeat rounds. */
    isTicking = true;
    /** Creates the peers' responses to a heartbeat. */
    createResponses: (heartbeat: ColdStartHeartbeat) => readonly ColdStartHeartbeat[];
    nowMs = 0;
    #requests = 0;
    readonly #engine: KeyValueEngine;

    constructor(self: string, engine: KeyValueEngine, servers: readonly GatedServer[], roster: GatewayRoster) {
        this.self = self;
        this.gate = createServerPermitGate(self);
        this.#engine = engine;
        this.gate.onServers(servers, 0);
        this.gate.onRoster(roster, 0);
        this.createResponses = heartbeat =>
            roster.members
                .filter(member => member !== self)
                .map(member => createHeartbeatResponse(member, roster.version, heartbeat));
    }

    /** Advances the time in steps of 100 ms. */
    advanceUntil(untilMs: number): void {
        while (this.nowMs < untilMs) {
            this.nowMs += 100;
            this.step();
        }
    }

    step(): void {
        const heartbeat = this.gate.beginRound(this.nowMs);
        this.gate.onRound({ startedAtMs: this.nowMs, responses: this.createResponses(heartbeat) }, this.nowMs);
        if (this.isTicking) {
            for (const command of this.gate.tick(this.nowMs)) {
                const outcome = this.isStoreUp ? this.#run(command) : { type: "failed" } as const;
                this.gate.onStoreReply({ command, sentAtMs: this.nowMs, outcome }, this.nowMs);
            }
        }
    }

    maySend(serverId: ServerId, patienceMs = 500): boolean {
        return this.gate.maySend(serverId, this.nowMs, this.nowMs + patienceMs) === "yes";
    }

    /** Waits until a request may be sent to the server, and sends it. @returns the id of the request */
    send(serverId: ServerId, patienceMs = 500): string {
        for (let i = 0; i < 200 && !this.maySend(serverId, patienceMs); i++) {
            this.advanceUntil(this.nowMs + 100);
        }
        if (!this.maySend(serverId, patienceMs)) {
            throw new Error(`${this.self} may not send to ${serverId} at ${this.nowMs} ms`);
        }
        const requestId = `${this.self}-${this.#requests++}`;
        this.gate.onSent(serverId, requestId, this.nowMs, this.nowMs + patienceMs);
        return requestId;
    }

    /** Completes a request with a good response after 10 ms. */
    respond(serverId: ServerId, requestId: string, metadata: ServerMetadata): void {
        this.nowMs += 10;
        this.gate.onEnd(serverId, requestId, { outcome: "good", metadata, mayStillRun: false }, this.nowMs);
    }

    #run(command: StoreCommand): StoreOutcome {
        switch (command.type) {
            case "grantLease":
                return { type: "lease", leaseId: this.#engine.grantLease(command.ttlMs, this.nowMs).id, ttlMs: 6_000 };
            case "renewLease":
                return this.#engine.renewLease(command.leaseId, this.nowMs) === undefined
                    ? { type: "lapsed" }
                    : { type: "lease", leaseId: command.leaseId, ttlMs: 6_000 };
            case "read":
                return { type: "value", entry: this.#engine.get(command.key, this.nowMs) };
            case "swap": {
                const outcome = this.#engine.compareAndSwap(command, this.nowMs);
                return outcome.swapped
                    ? { type: "swapped", revision: outcome.revision }
                    : { type: "notSwapped", current: outcome.current };
            }
        }
    }
}

/** Creates the response of a peer that has no requests in flight and knows the same epochs as the sender. */
export function createHeartbeatResponse(
    from: string,
    rosterVersion: number,
    request: ColdStartHeartbeat,
    more: Partial<ColdStartHeartbeat> = {},
): ColdStartHeartbeat {
    const words = request.words.map(report => ({ ...report, inFlight: 0 }));
    return {
        from,
        rosterVersion,
        leases: [],
        words,
        departures: [],
        absent: [],
        isAskerSuspended: false,
        signals: [],
        ...more,
    };
}
