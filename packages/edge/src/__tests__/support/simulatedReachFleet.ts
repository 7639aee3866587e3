import { FleetView, type RegisteredServer, type ServerAddress, type StateItem } from "@galenaglade/fleet-state";
import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { type ServerContactResult } from "@galenaglade/reachability";
import { type RandomSource } from "@galenaglade/routing";
import { createMetrics } from "@galenaglade/telemetry";
import { ReachabilityClient } from "../../reach/reachabilityClient.js";
import { type ReachabilityResponse } from "../../reach/reachabilityMessages.js";
import { ServerProbe } from "../../reach/serverProbe.js";
import { ReachabilityMonitor } from "../../reach/reachabilityMonitor.js";
import { EdgeLog } from "../../telemetry/edgeLog.js";
import { EdgeMetrics } from "../../telemetry/edgeMetrics.js";
import { type LinkFault } from "./faultyLinks.js";
import { createConfiguration } from "./testEdge.js";
import { type VirtualClock } from "./virtualClock.js";

const service = "tables";
const latencyMs = 1;
const workMs = 60;
const patienceMs = 2_000;
const connectTimeoutMs = 150;
const queryTimeoutMs = 150;
const probeTimeoutsMs = [35, 70, 140];
const parallelProbes = 2;
const maxSends = 6;
const maxHandovers = 4;
const metrics = new EdgeMetrics(createMetrics("test"));

/** Size and load of a simulated fleet. */
export interface SimulatedReachFleetSize {
    readonly gateways: number;
    readonly zones: number;
    readonly servers: number;
    readonly requestsPerSecond: number;
    /** Whether gateways respond to each other's queries. */
    readonly peersAnswer: boolean;
}

/** One gateway whose links to all servers a test can fail, with a real `ReachabilityMonitor` and simulated requests. */
export class SimulatedReachGateway {
    readonly name: string;
    readonly reachability: ReachabilityMonitor;
    readonly view = new FleetView();
    fault: LinkFault | undefined;
    isDead = false;

    constructor(fleet: SimulatedReachFleet, index: number, availabilityZone: string) {
        this.name = `gateway-${index}`;
        const { clock, random } = fleet;
        const write = (): void => undefined;
        this.reachability = new ReachabilityMonitor({
            name: this.name,
            availabilityZone,
            view: this.view,
            probe: new LinkProbe(fleet, this),
            reachabilityClient: new FleetPeers(fleet),
            clock,
            random,
            log: new EdgeLog({ debug: write, info: write, warn: write, error: write }, () => clock.monotonicMs()),
            metrics,
            onLinksLost: () => undefined,
            onLinksRestored: () => undefined,
        });
    }
}

/** Fleet on virtual time in which a test cuts gateways off from all servers. */
export class SimulatedReachFleet {
    readonly clock: VirtualClock;
    readonly random: RandomSource;
    readonly gateways: readonly SimulatedReachGateway[];
    readonly history: HistoryLine[] = [];
    readonly deadServers = new Set<string>();
    readonly size: SimulatedReachFleetSize;
    /** Number of requests that a gateway served for one that was cut off. */
    handoverCount = 0;
    #requests = 0;
    #isOver = false;

    constructor(clock: VirtualClock, random: RandomSource, size: SimulatedReachFleetSize) {
        this.clock = clock;
        this.random = random;
        this.size = size;
        const zoneOf = (index: number): string => `zone-${index % size.zones}`;
        this.gateways = Array.from({ length: size.gateways }, (_, i) => new SimulatedReachGateway(this, i, zoneOf(i)));
        const items = this.#createItems(zoneOf);
        for (const { view } of this.gateways) {
            view.onFullRead(items, clock.monotonicMs());
            view.onStoreContact(clock.monotonicMs());
        }
    }

    /** Starts callers that send to all gateways until the fleet is stopped. */
    start(): void {
        const periodMs = 1_000 / this.size.requestsPerSecond;
        for (const gateway of this.gateways) {
            const sendNext = (): void => {
                if (this.#isOver) {
                    return;
                }
                if (!gateway.isDead) {
                    void this.#send(gateway);
                }
                setTimeout(sendNext, periodMs * (0.5 + this.random.next()));
            };
            setTimeout(sendNext, periodMs * this.random.next());
        }
    }

    stop(): void {
        this.#isOver = true;
        for (const { reachability } of this.gateways) {
            reachability.stop();
        }
    }

    cut(gateway: SimulatedReachGateway, fault: LinkFault): void {
        gateway.fault = fault;
        this.#record({ type: "gatewayCutFromServers", gateway: gateway.name });
    }

    restore(gateway: SimulatedReachGateway): void {
        gateway.fault = undefined;
        this.#record({ type: "gatewayLinksRestored", gateway: gateway.name });
    }

    findGateway(port: number): SimulatedReachGateway | undefined {
        return this.gateways[port];
    }

    /** Simulates one exchange of a gateway with a server. @returns how it ends, once it does */
    async exchange(
        gateway: SimulatedReachGateway,
        server: string,
        isNew: boolean,
        timeoutMs: number,
    ): Promise<ServerContactResult> {
        const { fault } = gateway;
        const isSilent = this.deadServers.has(server) || fault === "hang" || fault === "oneWayOut"
            || fault === "oneWayBack" || (fault === "silentRefuseNew" && !isNew);
        if (isSilent) {
            await sleep(timeoutMs);
            return "silent";
        }
        await sleep(latencyMs);
        const isRefused = fault === "reset" || ((fault === "refuseNew" || fault === "silentRefuseNew") && isNew);
        return isRefused ? "refused" : "heard";
    }

    async #send(gateway: SimulatedReachGateway): Promise<void> {
        const requestId = `r${++this.#requests}`;
        const idempotent = this.random.next() < 0.6;
        this.#record({ type: "callerSent", requestId, service, idempotent, gateway: gateway.name, patienceMs });
        const isServed = await this.#serve(gateway, !idempotent);
        const status = isServed ? 200 : 503;
        const more = { didRun: undefined, whole: isServed, bodyRequestId: requestId };
        this.#record({ type: "callerAnswered", requestId, status, ...more });
    }

    /** Handles a request as a gateway does: hands it over if the links have failed, otherwise looks for a server. */
    async #serve(gateway: SimulatedReachGateway, needsNew: boolean): Promise<boolean> {
        const { reachability } = gateway;
        const tried = new Set<string>();
        const untilMs = this.clock.monotonicMs() + patienceMs;
        for (let sends = 0; sends < maxSends && this.clock.monotonicMs() < untilMs; sends++) {
            if (await reachability.whenSettled(service) !== "reached") {
                const target = reachability.stateOf(service) === "lost" && tried.size < maxHandovers
                    ? reachability.chooseHandoverTarget(service, tried)
                    : undefined;
                if (target !== undefined) {
                    tried.add(target.name);
                    if (await this.#handOver(gateway, target.name, target.peerAddress.port)) {
                        return true;
                    }
                    continue;
                }
                if (reachability.stateOf(service) === "lost" && tried.size < maxHandovers) {
                    reachability.onHandoverTargetsExhausted(service);
                }
                if (!reachability.tryAcquireLocalAttempt(service)) {
                    return false;
                }
            }
            const server = await this.#search(gateway);
            if (server === undefined) {
                if (await reachability.whenSettled(service) !== "lost") {
                    return false;
                }
                continue;
            }
            if (await this.#contact(gateway, server, needsNew, connectTimeoutMs) === "heard") {
                await sleep(workMs);
                return true;
            }
        }
        return false;
    }

    async #search(gateway: SimulatedReachGateway): Promise<string | undefined> {
        for (const timeoutMs of probeTimeoutsMs) {
            const servers = Array.from({ length: parallelProbes }, () => `server-${this.#draw(this.size.servers)}`);
            const ends = await Promise.all(servers.map(id => this.#contact(gateway, id, false, timeoutMs)));
            const reachable = servers.find((_, i) => ends[i] === "heard");
            if (reachable !== undefined || gateway.reachability.stateOf(service) === "lost") {
                return reachable;
            }
            await sleep(10 + 15 * this.random.next());
        }
        return undefined;
    }

    async #contact(
        gateway: SimulatedReachGateway,
        server: string,
        isNew: boolean,
        timeoutMs: number,
    ): Promise<ServerContactResult> {
        const startedAtMs = this.clock.monotonicMs();
        const end = await this.exchange(gateway, server, isNew, timeoutMs);
        gateway.reachability.onContact({ service, serverId: server, isNewConnection: isNew, end, startedAtMs });
        return end;
    }

    async #handOver(gateway: SimulatedReachGateway, name: string, port: number): Promise<boolean> {
        const target = this.findGateway(port);
        const { handoverTargets } = gateway.reachability;
        if (target === undefined || target.isDead) {
            await sleep(connectTimeoutMs);
            handoverTargets.onUnresponsive(name, this.clock.monotonicMs());
            return false;
        }
        const end = handoverTargets.trackRequest(name);
        await sleep(latencyMs);
        const reaches = target.reachability.stateOf(service) === "reached" && await this.#serveHere(target);
        await sleep(latencyMs);
        end();
        const nowMs = this.clock.monotonicMs();
        handoverTargets.onReachability(service, name, reaches, nowMs);
        handoverTargets.onSuggested(service, target.reachability.handoverTargets.suggest(service, nowMs), nowMs);
        this.handoverCount += reaches ? 1 : 0;
        return reaches;
    }

    /** Serves a request that another gateway handed over, which isn't handed over again. */
    async #serveHere(gateway: SimulatedReachGateway): Promise<boolean> {
        for (let sends = 0; sends < 3; sends++) {
            const server = await this.#search(gateway);
            if (server === undefined) {
                return false;
            }
            if (await this.#contact(gateway, server, sends > 0, connectTimeoutMs) === "heard") {
                await sleep(workMs);
                return true;
            }
        }
        return false;
    }

    #createItems(zoneOf: (index: number) => string): readonly StateItem[] {
        const servers = Array.from({ length: this.size.servers }, (_, i): RegisteredServer => ({
            id: `server-${i}`,
            service,
            address: { host: "server", port: i },
            availabilityZone: zoneOf(i),
            slots: 3,
            state: "ready",
            coldRemainingMs: 0,
            startedAtEpochMs: 1,
        }));
        return [
            { type: "configuration", key: "configuration", configuration: createConfiguration(1) },
            ...servers.map((server): StateItem => ({ type: "server", key: `servers/${server.id}`, server })),
            ...this.gateways.map(({ name }, i): StateItem => ({
                type: "gateway",
                key: `gateways/${name}`,
                name,
                leaseId: undefined,
                registration: { availabilityZone: zoneOf(i), peerAddress: { host: "gateway", port: i } },
            })),
        ];
    }

    #record(event: HistoryEvent): void {
        this.history.push({ ...event, sequence: this.history.length, atMs: this.clock.monotonicMs(), process: "" });
    }

    #draw(count: number): number {
        return Math.floor(this.random.next() * count);
    }
}

class LinkProbe extends ServerProbe {
    readonly #fleet: SimulatedReachFleet;
    readonly #gateway: SimulatedReachGateway;

    constructor(fleet: SimulatedReachFleet, gateway: SimulatedReachGateway) {
        super();
        this.#fleet = fleet;
        this.#gateway = gateway;
    }

    override probe(_service: string, { id }: RegisteredServer): Promise<ServerContactResult> {
        return this.#fleet.exchange(this.#gateway, id, true, queryTimeoutMs);
    }
}

class FleetPeers extends ReachabilityClient {
    readonly #fleet: SimulatedReachFleet;

    constructor(fleet: SimulatedReachFleet) {
        super();
        this.#fleet = fleet;
    }

    override async fetchReachability(
        { port }: ServerAddress,
        queriedService: string,
    ): Promise<ReachabilityResponse | undefined> {
        const peer = this.#fleet.findGateway(port);
        if (peer === undefined || peer.isDead || !this.#fleet.size.peersAnswer) {
            await sleep(connectTimeoutMs);
            return undefined;
        }
        await sleep(latencyMs);
        const response = await peer.reachability.getReachability(queriedService);
        await sleep(latencyMs);
        return response;
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}
