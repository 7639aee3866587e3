import { type ServerId } from "@galenaglade/routing";
import { type KeyValueEngine } from "@galenaglade/stand-ins";
import {
    type AnswerSigns,
    type ColdStartWord,
    createServerGate,
    type GatedServer,
    type GatewayRoster,
    noSigns,
    type ServerGate,
    type StoreCommand,
    type StoreOutcome,
} from "../index.js";

/** What a server says of itself in an answer. */
export function createSigns(state: AnswerSigns["state"], more: Partial<AnswerSigns> = {}): AnswerSigns {
    return { ...noSigns, state, ...more };
}

/** A declared server with the limits that the tests count on. */
export function createServer(serverId: ServerId, more: Partial<GatedServer["limits"]> = {}): GatedServer {
    const limits = {
        concurrency: 1,
        slots: 3,
        answersToWarm: 3,
        idleMs: 60_000,
        longestPatienceMs: 20_000,
        ...more,
    };
    return { serverId, limits, isIn: true };
}

/** One gate with a store that answers at once, and peers that say what the test wants. */
export class GateDriver {
    readonly self: string;
    readonly gate: ServerGate;
    isStoreUp = true;
    /** Whether ticks are called as time passes; without them only rounds are. */
    isTicking = true;
    /** Makes the answers of a round's peers, from the word that they got. */
    answers: (word: ColdStartWord) => readonly ColdStartWord[];
    nowMs = 0;
    #requests = 0;
    readonly #engine: KeyValueEngine;

    constructor(self: string, engine: KeyValueEngine, servers: readonly GatedServer[], roster: GatewayRoster) {
        this.self = self;
        this.gate = createServerGate(self);
        this.#engine = engine;
        this.gate.onServers(servers, 0);
        this.gate.onRoster(roster, 0);
        this.answers = word =>
            roster.members
                .filter(member => member !== self)
                .map(member => createAnswer(member, roster.version, word));
    }

    /** Lets time pass in steps of 100 ms. */
    passUntil(untilMs: number): void {
        while (this.nowMs < untilMs) {
            this.nowMs += 100;
            this.step();
        }
    }

    step(): void {
        const word = this.gate.beginRound(this.nowMs);
        this.gate.onRound({ startedAtMs: this.nowMs, answers: this.answers(word) }, this.nowMs);
        if (this.isTicking) {
            for (const command of this.gate.tick(this.nowMs)) {
                const outcome = this.isStoreUp ? this.#run(command) : { type: "failed" } as const;
                this.gate.onStoreReply({ command, askedAtMs: this.nowMs, outcome }, this.nowMs);
            }
        }
    }

    maySend(serverId: ServerId, patienceMs = 500): boolean {
        return this.gate.maySend(serverId, this.nowMs, this.nowMs + patienceMs) === "yes";
    }

    /** Asks for the server until it may be sent to, and sends. @returns the request */
    send(serverId: ServerId, patienceMs = 500): string {
        for (let i = 0; i < 200 && !this.maySend(serverId, patienceMs); i++) {
            this.passUntil(this.nowMs + 100);
        }
        if (!this.maySend(serverId, patienceMs)) {
            throw new Error(`${this.self} may not send to ${serverId} at ${this.nowMs} ms`);
        }
        const requestId = `${this.self}-${this.#requests++}`;
        this.gate.onSent(serverId, requestId, this.nowMs, this.nowMs + patienceMs);
        return requestId;
    }

    /** A whole answer comes, 10 ms after the request. */
    answer(serverId: ServerId, requestId: string, signs: AnswerSigns): void {
        this.nowMs += 10;
        this.gate.onEnd(serverId, requestId, { outcome: "good", signs, mayStillRun: false }, this.nowMs);
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
export function createAnswer(
    from: string,
    rosterVersion: number,
    asked: ColdStartWord,
    more: Partial<ColdStartWord> = {},
): ColdStartWord {
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
