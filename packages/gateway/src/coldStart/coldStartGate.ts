import {
    type AttemptCompletion,
    type ColdStartHeartbeat,
    createServerPermitGate,
    type GatedServer,
    type GatewayRoster,
    type ServerPermitGate,
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
import { runStoreCommand } from "./runStoreCommand.js";

/** Access to the other gateways for coordinating cold starts. */
export abstract class ColdStartPeers {
    /** @returns the current members as `name/incarnation`, including this gateway */
    abstract roster(): GatewayRoster;
    /** Sends a heartbeat to every peer. @returns one promise for each peer's reply */
    abstract exchange(heartbeat: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[];
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
    readonly #deps: ColdStartGateDeps;
    readonly #permitGate: ServerPermitGate;
    #storeTimer: NodeJS.Timeout | undefined;
    #heartbeatTimer: NodeJS.Timeout | undefined;

    constructor(deps: ColdStartGateDeps) {
        super();
        this.#deps = deps;
        this.#permitGate = createServerPermitGate(deps.self);
    }

    /** The permit gate, which holds the state of each backend server. */
    get permitGate(): ServerPermitGate {
        return this.#permitGate;
    }

    override start(dispatchQueued: () => void): void {
        this.#storeTimer = setInterval(() => {
            this.#runStoreCommands();
            dispatchQueued();
        }, gateCheckPeriodMs);
        this.#heartbeatTimer = setInterval(() => this.#exchangeHeartbeats(), gateHeartbeatPeriodMs);
        this.#exchangeHeartbeats();
    }

    /** Releases the permits; if the store is unreachable, they expire. Must be called when no request is in flight. */
    override async stop(): Promise<void> {
        clearInterval(this.#storeTimer);
        clearInterval(this.#heartbeatTimer);
        const { leaseId } = this.#permitGate;
        if (leaseId !== undefined) {
            await this.#deps.store.revokeLease(leaseId);
        }
    }

    /** Applies the backend servers of a newer configuration. */
    override onConfiguration(revised: ConfigurationRevision): void {
        this.#permitGate.onServers(resolveGatedServers(revised.configuration), this.#now());
    }

    /** Handles a peer's heartbeat. @returns the reply */
    onHeartbeat(heartbeat: ColdStartHeartbeat): ColdStartHeartbeat {
        return this.#permitGate.onHeartbeat(heartbeat, this.#now());
    }

    override maySend(target: Target, nowMs: number, deadlineMs: number): boolean {
        return this.#permitGate.maySend(target.serverId, nowMs, deadlineMs) === "yes";
    }

    override hasPeerContact(nowMs: number): boolean {
        return this.#permitGate.hasPeerContact(nowMs);
    }

    override isCold(target: Pick<Target, "serverId">): boolean {
        return this.#permitGate.getReadiness(target.serverId) === "cold";
    }

    override onGranted(grant: Grant, deadlineMs: number): void {
        this.#permitGate.onSent(grant.target.serverId, grant.id, grant.grantedAtMs, deadlineMs);
    }

    override mayStillSend(grant: Grant, nowMs: number): boolean {
        return this.#permitGate.mayStillSend(grant.target.serverId, grant.id, nowMs);
    }

    override onEnded(grant: Grant, end: AttemptCompletion, nowMs: number): void {
        this.#permitGate.onEnd(grant.target.serverId, grant.id, end, nowMs);
        if (this.#permitGate.takeUrgentSignals(nowMs).length > 0) {
            // A heartbeat carries every signal, so an extra round reports a cold or leaving server to all peers.
            this.#exchangeHeartbeats();
        }
    }

    #now(): number {
        return this.#deps.clock.monotonicMs();
    }

    #runStoreCommands(): void {
        for (const command of this.#permitGate.tick(this.#now())) {
            const askedAtMs = this.#now();
            void runStoreCommand(this.#deps.store, command).then(outcome => {
                this.#permitGate.onStoreReply({ command, sentAtMs: askedAtMs, outcome }, this.#now());
            });
        }
    }

    #exchangeHeartbeats(): void {
        const { peers } = this.#deps;
        this.#permitGate.onRoster(peers.roster(), this.#now());
        const startedAtMs = this.#now();
        const heartbeat = this.#permitGate.beginRound(startedAtMs);
        const answers: ColdStartHeartbeat[] = [];
        this.#permitGate.onRound({ startedAtMs, responses: answers }, startedAtMs);
        for (const reply of peers.exchange(heartbeat)) {
            void reply.then(result => {
                result.ifRight(peerHeartbeat => {
                    answers.push(peerHeartbeat);
                    this.#permitGate.onRound({ startedAtMs, responses: answers }, this.#now());
                });
            });
        }
    }
}

function resolveGatedServers(cfg: Configuration): readonly GatedServer[] {
    const activeZones = new Set(cfg.availabilityZones.filter(zone => zone.state === "in").map(zone => zone.name));
    return cfg.services.flatMap(service => {
        const longestPatienceMs = Math.max(...service.patience.map(rule => rule.patienceMs));
        return service.backendServers.map(server =>
            resolveGatedServer(service, server, activeZones, longestPatienceMs)
        );
    });
}

function resolveGatedServer(
    service: Service,
    server: Service["backendServers"][number],
    activeZones: ReadonlySet<string>,
    longestPatienceMs: number,
): GatedServer {
    const { concurrency, answersToWarm, idleMs } = service.coldStart;
    return {
        serverId: createServerId(service.name, server.name),
        limits: { concurrency, answersToWarm, idleMs, slots: server.slots, maxPatienceMs: longestPatienceMs },
        isZoneInService: activeZones.has(server.availabilityZone),
    };
}
