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

/** What a server says of itself in an answer. */
export function createMetadata(state: ServerMetadata["state"], more: Partial<ServerMetadata> = {}): ServerMetadata {
    return { ...emptyServerMetadata, state, ...more };
}

/** A declared server with the limits that the tests count on. */
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

/** One gate with a store that answers at once, and peers that say what the test wants. */
export class GateDriver {
    readonly self: string;
    readonly gate: ServerPermitGate;
    isStoreUp = true;
    /** Whether ticks are called as time passes; without them only rounds are. */
    isTicking = true;
    /** Makes the answers of a round's peers, from the word that they got. */
    createResponses: (word: ColdStartHeartbeat) => readonly ColdStartHeartbeat[];
    nowMs = 0;
    #requests = 0;
    readonly #engine: KeyValueEngine;

    constructor(self: string, engine: KeyValueEngine, servers: readonly GatedServer[], roster: GatewayRoster) {
        this.self = self;
        this.gate = createServerPermitGate(self);
        this.#engine = engine;
        this.gate.onServers(servers, 0);
        this.gate.onRoster(roster, 0);
        this.createResponses = word =>
            roster.members
                .filter(member => member !== self)
                .map(member => createHeartbeatResponse(member, roster.version, word));
    }

    /** Lets time pass in steps of 100 ms. */
    advanceUntil(untilMs: number): void {
        while (this.nowMs < untilMs) {
            this.nowMs += 100;
            this.step();
        }
    }

    step(): void {
        const word = this.gate.beginRound(this.nowMs);
        this.gate.onRound({ startedAtMs: this.nowMs, responses: this.createResponses(word) }, this.nowMs);
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

    /** Asks for the server until it may be sent to, and sends. @returns the request */
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

    /** A whole answer comes, 10 ms after the request. */
    respond(serverId: ServerId, requestId: string, signs: ServerMetadata): void {
        this.nowMs += 10;
        this.gate.onEnd(serverId, requestId, { outcome: "good", metadata: signs, mayStillRun: false }, this.nowMs);
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

/** The answer of a peer that has nothing in flight and knows of as many turns to cold as whoever asked. */
export function createHeartbeatResponse(
    from: string,
    rosterVersion: number,
    asked: ColdStartHeartbeat,
    more: Partial<ColdStartHeartbeat> = {},
): ColdStartHeartbeat {
    const words = asked.words.map(word => ({ ...word, inFlight: 0 }));
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
