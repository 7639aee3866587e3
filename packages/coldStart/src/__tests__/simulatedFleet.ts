import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { createRandomSource, type RandomSource, type ServerId } from "@galenaglade/routing";
import { type StoreCallOutcome, FakeStore, KeyValueEngine, VirtualClock } from "@galenaglade/stand-ins";
import {
    type AttemptCompletion,
    createServerPermitGate,
    type GatedServer,
    type GatewayRoster,
    emptyServerMetadata,
    type ServerPermitGate,
    type StoreCommand,
    type StoreOutcome,
} from "../index.js";

/** Parameters of a simulated run; all faults are drawn from the seed. */
export interface FleetPlan {
    readonly seed: number;
    readonly gateways: number;
    readonly servers: number;
    readonly runMs: number;
    /** Time between two requests that arrive at a gateway. */
    readonly arrivalMs: number;
    readonly idleMs: number;
    /** Share of requests, responses and heartbeats that are lost. */
    readonly loss: number;
    /** Mean time between two unannounced changes of a server to cold; 0 for none. */
    readonly coldEveryMs: number;
    /** Mean time between two process pauses of a gateway; 0 for none. */
    readonly pauseEveryMs: number;
    /** Mean time between two disconnections of a gateway from the store or its peers; 0 for none. */
    readonly cutEveryMs: number;
    /** Mean time between two replacements of a gateway; 0 for none. */
    readonly replaceEveryMs: number;
    /** Periods in which the store is down. */
    readonly outages: readonly { readonly fromMs: number; readonly toMs: number; }[];
    /** Number of gateways that crash when the first outage begins and are not replaced. */
    readonly dead: number;
    /** Maximum patience of a caller. */
    readonly patienceMs: number;
    /** Mean time between two servers that begin to leave; 0 for none. */
    readonly leaveEveryMs: number;
    /** Number of concurrent requests that a cold server can handle. */
    readonly coldBears: number;
    /** Number of good responses after which a cold server is warm. */
    readonly answersUntilWarm: number;
    /** Share of requests that run to their deadline. */
    readonly longShare: number;
    /** Whether store, peers and servers are sometimes slow. */
    readonly slow: boolean;
}

const tickMs = 150;
const roundMs = 300;
const warmSlots = 3;

interface RunningRequest {
    readonly requestId: string;
    ended: boolean;
}

/** A backend server that reports its state only in its responses. */
class SimulatedServer {
    readonly serverId: ServerId;
    cold = true;
    leaving = false;
    inFlight = 0;
    incarnation = 1;
    readonly #plan: FleetPlan;
    #responses = 0;

    constructor(serverId: ServerId, plan: FleetPlan) {
        this.serverId = serverId;
        this.#plan = plan;
    }

    get bears(): number {
        return this.cold ? this.#plan.coldBears : warmSlots;
    }

    turnCold(): void {
        this.cold = true;
        this.#responses = 0;
    }

    /** @returns whether the response made the server warm */
    answer(): boolean {
        this.#responses++;
        if (this.cold && this.#responses >= this.#plan.answersUntilWarm) {
            this.cold = false;
            return true;
        }
        return false;
    }
}

/** A gateway process that can be paused and resumed; events during a pause are delivered afterwards in random order. */
class SimulatedGateway {
    readonly id: string;
    readonly gate: ServerPermitGate;
    isDead = false;
    cutFromStoreUntilMs = 0;
    cutFromPeersUntilMs = 0;
    requests = 0;
    #isPaused = false;
    #backlog: (() => void)[] = [];

    constructor(id: string) {
        this.id = id;
        this.gate = createServerPermitGate(id);
    }

    run(work: () => void): void {
        if (this.isDead) {
            return;
        }
        if (this.#isPaused) {
            this.#backlog.push(work);
            return;
        }
        work();
    }

    pause(): void {
        this.#isPaused = true;
    }

    resume(random: RandomSource): void {
        this.#isPaused = false;
        const backlog = this.#backlog;
        this.#backlog = [];
        while (backlog.length > 0) {
            backlog.splice(random.nextInt(backlog.length), 1)[0]?.();
        }
    }
}

/** Simulates several gateways, backend servers and the store on one virtual clock. */
export class SimulatedFleet {
    readonly history: HistoryLine[] = [];
    readonly #plan: FleetPlan;
    readonly #clock = new VirtualClock();
    readonly #random: RandomSource;
    readonly #store: FakeStore;
    readonly #servers: SimulatedServer[] = [];
    readonly #gateways: SimulatedGateway[] = [];
    #roster: GatewayRoster = { version: 0, members: [] };
    #gatewayCount = 0;
    answered = 0;
    asked = 0;

    constructor(plan: FleetPlan) {
        this.#plan = plan;
        this.#random = createRandomSource(plan.seed);
        this.#store = new FakeStore(
            new KeyValueEngine(),
            this.#clock,
            (client, nowMs) => this.#resolveStoreOutcome(client, nowMs),
        );
        for (let i = 0; i < plan.servers; i++) {
            this.#servers.push(new SimulatedServer(`service/s${i}`, plan));
        }
    }

    /** Number of gateways ever started, since dead ones may still have requests at a server. */
    get gatewayCount(): number {
        return this.#gatewayCount;
    }

    /** Share of servers that are warm now. */
    warmShare(): number {
        return this.#servers.filter(server => !server.cold).length / this.#servers.length;
    }

    start(): void {
        for (let i = 0; i < this.#plan.gateways; i++) {
            this.#addGateway();
        }
        this.#changeRoster();
        this.#repeat(this.#plan.coldEveryMs, () => this.#turnServerCold());
        this.#repeat(this.#plan.leaveEveryMs, () => this.#startServerLeaving());
        this.#repeat(this.#plan.pauseEveryMs, () => this.#pauseGateway());
        this.#repeat(this.#plan.cutEveryMs, () => this.#disconnectGateway());
        this.#repeat(this.#plan.replaceEveryMs, () => this.#replaceGateway());
        const outage = this.#plan.outages[0];
        if (outage !== undefined && this.#plan.dead > 0) {
            this.#clock.schedule(outage.fromMs, () => {
                for (const gateway of this.#gateways.slice(0, this.#plan.dead)) {
                    gateway.isDead = true;
                }
            });
        }
    }

    runUntil(atMs: number): void {
        this.#clock.runUntil(atMs);
    }

    #record(process: string, event: HistoryEvent): void {
        this.history.push({ sequence: this.history.length, atMs: this.#clock.nowMs, process, ...event });
    }

    /** Runs `work` at random intervals with the mean `meanMs`. */
    #repeat(meanMs: number, work: () => void): void {
        if (meanMs > 0) {
            this.#clock.schedule(meanMs * 2 * this.#random.next(), () => {
                work();
                this.#repeat(meanMs, work);
            });
        }
    }

    #drawDelayMs(): number {
        const isSlow = this.#plan.slow && this.#random.next() < 0.05;
        return 1 + this.#random.nextInt(isSlow ? 1_200 : 20);
    }

    #isLost(): boolean {
        return this.#random.next() < this.#plan.loss;
    }

    #isStoreDown(nowMs: number): boolean {
        return this.#plan.outages.some(outage => nowMs >= outage.fromMs && nowMs < outage.toMs);
    }

    #resolveStoreOutcome(client: string, nowMs: number): StoreCallOutcome {
        const gateway = this.#gateways.find(each => each.id === client);
        const isDisconnected = gateway !== undefined && nowMs < gateway.cutFromStoreUntilMs;
        if (isDisconnected || this.#isStoreDown(nowMs) || this.#isLost()) {
            return { type: "requestLost", timeoutMs: 1_000 };
        }
        if (this.#isLost()) {
            return { type: "answerLost", outMs: this.#drawDelayMs() % 1_000, timeoutMs: 1_000 };
        }
        return { type: "answered", outMs: this.#drawDelayMs(), backMs: this.#drawDelayMs() };
    }

    #addGateway(): SimulatedGateway {
        const gateway = new SimulatedGateway(`g${this.#gatewayCount++}/1`);
        this.#gateways.push(gateway);
        gateway.gate.onServers(this.#servers.map(server => this.#declare(server)), this.#clock.nowMs);
        this.#every(gateway, tickMs, () => this.#tick(gateway));
        this.#every(gateway, roundMs, () => this.#round(gateway));
        this.#every(gateway, this.#plan.arrivalMs, () => this.#onRequest(gateway));
        return gateway;
    }

    #declare(server: SimulatedServer): GatedServer {
        const limits = {
            concurrency: 1,
            slots: warmSlots,
            answersToWarm: 5,
            idleMs: this.#plan.idleMs,
            maxPatienceMs: this.#plan.patienceMs,
        };
        return { serverId: server.serverId, limits, isZoneInService: true };
    }

    #every(gateway: SimulatedGateway, periodMs: number, work: () => void): void {
        this.#clock.schedule(periodMs / 2 + this.#random.nextInt(periodMs), () => {
            if (gateway.isDead) {
                return;
            }
            gateway.run(work);
            this.#every(gateway, periodMs, work);
        });
    }

    /** Changes the roster; the new one reaches every gateway within two seconds. */
    #changeRoster(): void {
        const members = this.#gateways.filter(gateway => !gateway.isDead).map(gateway => gateway.id);
        const previous = this.#roster.version === 0 ? undefined : this.#roster.members;
        this.#roster = { version: this.#roster.version + 1, members, previous };
        const roster = this.#roster;
        for (const gateway of this.#gateways) {
            this.#clock.schedule(
                this.#random.nextInt(2_000),
                () => gateway.run(() => gateway.gate.onRoster(roster, this.#clock.nowMs)),
            );
        }
    }

    #turnServerCold(): void {
        const server = this.#servers[this.#random.nextInt(this.#servers.length)];
        if (server !== undefined && !server.cold) {
            server.turnCold();
            this.#record(server.serverId, { type: "serverTurnedCold", server: server.serverId });
        }
    }

    /** One server starts leaving: its responses report it at once, the host list to each gateway later or never. */
    #startServerLeaving(): void {
        const server = this.#servers[this.#random.nextInt(this.#servers.length)];
        if (server === undefined || server.leaving) {
            return;
        }
        server.leaving = true;
        this.#record(server.serverId, { type: "serverLeaving", server: server.serverId });
        for (const gateway of this.#gateways) {
            if (!this.#isLost()) {
                this.#clock.schedule(3_000 + this.#random.nextInt(20_000), () =>
                    gateway.run(() => {
                        gateway.gate.onHostListed(server.serverId, "leaving", this.#clock.nowMs);
                    }));
            }
        }
    }

    #pauseGateway(): void {
        const gateway = this.#gateways[this.#random.nextInt(this.#gateways.length)];
        gateway?.pause();
        this.#clock.schedule(500 + this.#random.nextInt(15_000), () => gateway?.resume(this.#random));
    }

    #disconnectGateway(): void {
        const gateway = this.#gateways[this.#random.nextInt(this.#gateways.length)];
        const untilMs = this.#clock.nowMs + 500 + this.#random.nextInt(20_000);
        if (gateway !== undefined && this.#random.next() < 0.7) {
            gateway.cutFromStoreUntilMs = untilMs;
        }
        else if (gateway !== undefined) {
            gateway.cutFromPeersUntilMs = untilMs;
        }
    }

    #replaceGateway(): void {
        if (this.#isStoreDown(this.#clock.nowMs)) {
            return;
        }
        const live = this.#gateways.filter(gateway => !gateway.isDead);
        const gateway = live[this.#random.nextInt(live.length)];
        if (gateway !== undefined) {
            gateway.isDead = true;
            this.#addGateway();
            this.#changeRoster();
        }
    }

    #tick(gateway: SimulatedGateway): void {
        for (const command of gateway.gate.tick(this.#clock.nowMs)) {
            this.#call(gateway, command);
        }
    }

    #call(gateway: SimulatedGateway, command: StoreCommand): void {
        const sentAtMs = this.#clock.nowMs;
        this.#store.call(gateway.id, (engine, nowMs) => runCommand(engine, command, nowMs), result => {
            const outcome: StoreOutcome = result.orDefault({ type: "failed" });
            gateway.run(() => gateway.gate.onStoreReply({ command, sentAtMs, outcome }, this.#clock.nowMs));
        });
    }

    #round(gateway: SimulatedGateway): void {
        const startedAtMs = this.#clock.nowMs;
        const heartbeat = gateway.gate.beginRound(startedAtMs);
        const responses: ReturnType<ServerPermitGate["beginRound"]>[] = [];
        const end = (): void => {
            gateway.gate.onRound({ startedAtMs, responses }, this.#clock.nowMs);
        };
        for (const peer of this.#gateways) {
            if (peer === gateway || this.#isDisconnected(gateway, peer) || this.#isLost()) {
                continue;
            }
            this.#clock.schedule(this.#drawDelayMs(), () =>
                peer.run(() => {
                    const response = peer.gate.onHeartbeat(heartbeat, this.#clock.nowMs);
                    if (this.#isLost()) {
                        return;
                    }
                    this.#clock.schedule(this.#drawDelayMs(), () =>
                        gateway.run(() => {
                            responses.push(response);
                            end();
                            this.#recordMajority(gateway, startedAtMs, responses.map(each => each.from));
                        }));
                }));
        }
    }

    #isDisconnected(...gateways: readonly SimulatedGateway[]): boolean {
        return gateways.some(gateway => this.#clock.nowMs < gateway.cutFromPeersUntilMs);
    }

    /** Computes the majority from the current roster, so that the checker does not depend on the gate's result. */
    #recordMajority(gateway: SimulatedGateway, startedAtMs: number, peers: readonly string[]): void {
        const contacted = new Set([gateway.id, ...peers]);
        const { members, previous } = this.#roster;
        const isMajority = [members, previous ?? members]
            .every(list => list.filter(member => contacted.has(member)).length * 2 > list.length);
        if (isMajority) {
            this.#record(gateway.id, { type: "majorityRound", gateway: gateway.id, startedAtMs });
        }
    }

    #onRequest(gateway: SimulatedGateway): void {
        const nowMs = this.#clock.nowMs;
        this.asked++;
        const deadlineMs = nowMs + 100 + this.#random.nextInt(this.#plan.patienceMs - 100);
        const first = this.#random.nextInt(this.#servers.length);
        for (let i = 0; i < this.#servers.length; i++) {
            const server = this.#servers[(first + i) % this.#servers.length];
            if (server !== undefined && gateway.gate.maySend(server.serverId, nowMs, deadlineMs) === "yes") {
                this.#send(gateway, server, deadlineMs);
                return;
            }
        }
    }

    #send(gateway: SimulatedGateway, server: SimulatedServer, deadlineMs: number): void {
        const requestId = `${gateway.id}-${gateway.requests++}`;
        const request: RunningRequest = { requestId, ended: false };
        gateway.gate.onSent(server.serverId, requestId, this.#clock.nowMs, deadlineMs);
        this.#clock.schedule(deadlineMs - this.#clock.nowMs, () =>
            this.#end(gateway, server, request, {
                outcome: "failed",
                metadata: emptyServerMetadata,
                mayStillRun: true,
            }));
        if (!this.#isLost()) {
            this.#clock.schedule(1 + this.#random.nextInt(20), () => this.#serve(gateway, server, request, deadlineMs));
        }
    }

    #end(gateway: SimulatedGateway, server: SimulatedServer, request: RunningRequest, end: AttemptCompletion): void {
        gateway.run(() => {
            if (request.ended) {
                return;
            }
            request.ended = true;
            if (end.metadata.state === "cold") {
                this.#record(gateway.id, { type: "coldSignHeard", gateway: gateway.id, server: server.serverId });
            }
            if (end.metadata.state === "leaving") {
                this.#record(gateway.id, { type: "leavingHeard", gateway: gateway.id, server: server.serverId });
            }
            this.answered += end.outcome === "good" ? 1 : 0;
            gateway.gate.onEnd(server.serverId, request.requestId, end, this.#clock.nowMs);
        });
    }

    /** The server enforces deadlines: requests past theirs are cancelled within half a second. */
    #serve(gateway: SimulatedGateway, server: SimulatedServer, request: RunningRequest, deadlineMs: number): void {
        server.inFlight++;
        this.#record(server.serverId, {
            type: "serverStarted",
            requestId: request.requestId,
            server: server.serverId,
            availabilityZone: "a",
            incarnation: String(server.incarnation),
            cold: server.cold,
            inFlight: server.inFlight,
            bears: server.bears,
        });
        const isStuck = this.#random.next() < this.#plan.longShare;
        const serviceMs = isStuck ? Number.POSITIVE_INFINITY : (server.cold ? 20 : 5) + this.#random.nextInt(80);
        const latestMs = deadlineMs + this.#random.nextInt(500) - this.#clock.nowMs;
        this.#clock.schedule(Math.min(serviceMs, latestMs), () => {
            server.inFlight--;
            if (serviceMs > latestMs) {
                return;
            }
            if (server.answer()) {
                this.#record(server.serverId, { type: "serverTurnedWarm", server: server.serverId });
            }
            const metadata = {
                state: resolveState(server),
                inFlight: server.inFlight,
                incarnation: undefined,
                bears: server.bears,
            };
            if (!this.#isLost()) {
                const end: AttemptCompletion = { outcome: "good", metadata, mayStillRun: false };
                this.#clock.schedule(1 + this.#random.nextInt(20), () => this.#end(gateway, server, request, end));
            }
        });
    }
}

function resolveState(server: SimulatedServer): "warm" | "cold" | "leaving" {
    if (server.leaving) {
        return "leaving";
    }
    return server.cold ? "cold" : "warm";
}

function runCommand(engine: KeyValueEngine, command: StoreCommand, nowMs: number): StoreOutcome {
    switch (command.type) {
        case "grantLease": {
            const lease = engine.grantLease(command.ttlMs, nowMs);
            return { type: "lease", leaseId: lease.id, ttlMs: lease.ttlMs };
        }
        case "renewLease": {
            const lease = engine.renewLease(command.leaseId, nowMs);
            return lease === undefined ? { type: "lapsed" } : { type: "lease", leaseId: lease.id, ttlMs: lease.ttlMs };
        }
        case "read":
            return { type: "value", entry: engine.get(command.key, nowMs) };
        case "swap": {
            const outcome = engine.compareAndSwap(command, nowMs);
            return outcome.swapped
                ? { type: "swapped", revision: outcome.revision }
                : { type: "notSwapped", current: outcome.current };
        }
    }
}
