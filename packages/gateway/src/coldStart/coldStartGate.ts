import {
    type AttemptEnd,
    type ColdStartWord,
    createServerGate,
    type GatedServer,
    type GatewayRoster,
    type ServerGate as PermitGate,
} from "@galenaglade/cold-start";
import { type Configuration, type ConfigurationRevision, type Service } from "@galenaglade/configuration";
import { type Failure } from "@galenaglade/errors";
import { type KeyValueStore } from "@galenaglade/platform";
import { createServerId } from "@galenaglade/routing";
import { type Either } from "purify-ts";
import { type Clock } from "@galenaglade/http-parts";
import { type Grant } from "../requests/grant.js";
import { ServerGate } from "../requests/serverGate.js";
import { type Target } from "../requests/serviceTable.js";
import { gateHeartbeatPeriodMs, gateCheckPeriodMs } from "./constants.js";
import { runStoreCommand } from "./storeCalls.js";

/** Access to the other gateways for coordinating cold starts. */
export abstract class ColdStartPeers {
    /** @returns the current members as `name/incarnation`, including this gateway */
    abstract roster(): GatewayRoster;
    /** Sends a heartbeat to every peer. @returns one promise for each peer's reply */
    abstract exchange(word: ColdStartWord): readonly Promise<Either<Failure, ColdStartWord>>[];
}

/** Dependencies of {@link ColdStartGate}. */
export interface ColdStartGateDeps {
    /** `name/incarnation` of this gateway. */
    readonly self: string;
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly peers: ColdStartPeers;
}

/**
 * Limits what cold and leaving backend servers are sent. Runs the timers, store commands and heartbeats of the permit
 * gate, which makes the decisions.
 */
export class ColdStartGate extends ServerGate {
    readonly #parts: ColdStartGateDeps;
    readonly #gate: PermitGate;
    #tickTimer: NodeJS.Timeout | undefined;
    #roundTimer: NodeJS.Timeout | undefined;

    constructor(parts: ColdStartGateDeps) {
        super();
        this.#parts = parts;
        this.#gate = createServerGate(parts.self);
    }

    /** The permit gate, which holds the state of each backend server. */
    get permitGate(): PermitGate {
        return this.#gate;
    }

    override start(reconsider: () => void): void {
        this.#tickTimer = setInterval(() => {
            this.#tick();
            reconsider();
        }, gateCheckPeriodMs);
        this.#roundTimer = setInterval(() => this.#round(), gateHeartbeatPeriodMs);
        this.#round();
    }

    /** Releases the permits; if the store is unreachable, they expire. Must be called when no request is in flight. */
    override async stop(): Promise<void> {
        clearInterval(this.#tickTimer);
        clearInterval(this.#roundTimer);
        const { leaseId } = this.#gate;
        if (leaseId !== undefined) {
            await this.#parts.store.revokeLease(leaseId);
        }
    }

    /** Applies the backend servers of a newer configuration. */
    override onConfiguration(revised: ConfigurationRevision): void {
        this.#gate.onServers(resolveGatedServers(revised.configuration), this.#now());
    }

    /** Handles a peer's heartbeat. @returns the reply */
    onHeartbeat(word: ColdStartWord): ColdStartWord {
        return this.#gate.onHeartbeat(word, this.#now());
    }

    override maySend(target: Target, nowMs: number, deadlineMs: number): boolean {
        return this.#gate.maySend(target.serverId, nowMs, deadlineMs) === "yes";
    }

    override hasPeerContact(nowMs: number): boolean {
        return this.#gate.isInTouch(nowMs);
    }

    override isCold(target: Pick<Target, "serverId">): boolean {
        return this.#gate.stateOf(target.serverId) === "cold";
    }

    override onGranted(grant: Grant, deadlineMs: number): void {
        this.#gate.onSent(grant.target.serverId, grant.id, grant.grantedAtMs, deadlineMs);
    }

    override mayStillSend(grant: Grant, nowMs: number): boolean {
        return this.#gate.mayStillSend(grant.target.serverId, grant.id, nowMs);
    }

    override onEnded(grant: Grant, end: AttemptEnd, nowMs: number): void {
        this.#gate.onEnd(grant.target.serverId, grant.id, end, nowMs);
        if (this.#gate.takeUrgentSignals(nowMs).length > 0) {
            // A heartbeat carries every signal, so an extra round reports a cold or leaving server to all peers.
            this.#round();
        }
    }

    #now(): number {
        return this.#parts.clock.monotonicMs();
    }

    #tick(): void {
        for (const command of this.#gate.tick(this.#now())) {
            const askedAtMs = this.#now();
            void runStoreCommand(this.#parts.store, command).then(outcome => {
                this.#gate.onStoreReply({ command, askedAtMs, outcome }, this.#now());
            });
        }
    }

    #round(): void {
        const { peers } = this.#parts;
        this.#gate.onRoster(peers.roster(), this.#now());
        const startedAtMs = this.#now();
        const word = this.#gate.beginRound(startedAtMs);
        const answers: ColdStartWord[] = [];
        this.#gate.onRound({ startedAtMs, answers }, startedAtMs);
        for (const asked of peers.exchange(word)) {
            void asked.then(answer => {
                answer.ifRight(said => {
                    answers.push(said);
                    this.#gate.onRound({ startedAtMs, answers }, this.#now());
                });
            });
        }
    }
}

function resolveGatedServers(cfg: Configuration): readonly GatedServer[] {
    const zonesIn = new Set(cfg.availabilityZones.filter(zone => zone.state === "in").map(zone => zone.name));
    return cfg.services.flatMap(service => {
        const longestPatienceMs = Math.max(...service.patience.map(rule => rule.patienceMs));
        return service.backendServers.map(server => resolveGatedServer(service, server, zonesIn, longestPatienceMs));
    });
}

function resolveGatedServer(
    service: Service,
    server: Service["backendServers"][number],
    zonesIn: ReadonlySet<string>,
    longestPatienceMs: number,
): GatedServer {
    const { concurrency, answersToWarm, idleMs } = service.coldStart;
    return {
        serverId: createServerId(service.name, server.name),
        limits: { concurrency, answersToWarm, idleMs, slots: server.slots, longestPatienceMs },
        isIn: zonesIn.has(server.availabilityZone),
    };
}
