import { FleetView, type RegisteredServer, type ServerAddress, type StateItem } from "@galenaglade/fleet-state";
import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { type ServerContactResult } from "@galenaglade/reachability";
import { type RandomSource } from "@galenaglade/routing";
import { createMetrics } from "@galenaglade/telemetry";
import { PeerReach } from "../../reach/reachClient.js";
import { type ReachAnswer } from "../../reach/reachMessages.js";
import { ServerProbe } from "../../reach/serverProbe.js";
import { ServerReach } from "../../reach/serverReach.js";
import { EdgeLog } from "../../telemetry/edgeLog.js";
import { EdgeMetrics } from "../../telemetry/edgeMetrics.js";
import { type CutManner } from "./cutLinks.js";
import { createConfiguration } from "./testEdge.js";
import { type VirtualTime } from "./virtualTime.js";

const service = "tables";
const hopMs = 1;
const workMs = 60;
const patienceMs = 2_000;
const connectMs = 150;
const askMs = 150;
const questionMs = [35, 70, 140];
const askedAtOnce = 2;
const mostSends = 6;
const mostHelpers = 4;
const metrics = new EdgeMetrics(createMetrics("test"));

/** Size of a simulated fleet. */
export interface ReachFleetSize {
    readonly gateways: number;
    readonly zones: number;
    readonly servers: number;
    readonly requestsPerSecond: number;
    /** Whether gateways answer each other. */
    readonly askEachOther: boolean;
}

/** One gateway whose links to all servers a test cuts: its real belief of what it reaches, and simulated requests. */
export class ReachGateway {
    readonly name: string;
    readonly reach: ServerReach;
    readonly view = new FleetView();
    manner: CutManner | undefined;
    isDead = false;

    constructor(fleet: ReachFleet, index: number, availabilityZone: string) {
        this.name = `gateway-${index}`;
        const { time, random } = fleet;
        const write = (): void => undefined;
        this.reach = new ServerReach({
            name: this.name,
            availabilityZone,
            view: this.view,
            probe: new LinkProbe(fleet, this),
            peers: new FleetPeers(fleet),
            clock: time,
            random,
            log: new EdgeLog({ debug: write, info: write, warn: write, error: write }, () => time.monotonicMs()),
            metrics,
            onLost: () => undefined,
            onRestored: () => undefined,
        });
    }
}

/** Gateways of which some are cut off from all servers, on virtual time. */
export class ReachFleet {
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly gateways: readonly ReachGateway[];
    readonly history: HistoryLine[] = [];
    readonly deadServers = new Set<string>();
    readonly size: ReachFleetSize;
    /** Requests that other gateways had run for a gateway that is cut off. */
    handedOver = 0;
    #requests = 0;
    #isOver = false;

    constructor(time: VirtualTime, random: RandomSource, size: ReachFleetSize) {
        this.time = time;
        this.random = random;
        this.size = size;
        const zoneOf = (index: number): string => `zone-${index % size.zones}`;
        this.gateways = Array.from({ length: size.gateways }, (_, i) => new ReachGateway(this, i, zoneOf(i)));
        const items = this.#createItems(zoneOf);
        for (const { view } of this.gateways) {
            view.onFullRead(items, time.monotonicMs());
            view.onStoreContact(time.monotonicMs());
        }
    }

    /** Lets callers send to all gateways until the fleet is stopped. */
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
        for (const { reach } of this.gateways) {
            reach.stop();
        }
    }

    cut(gateway: ReachGateway, manner: CutManner): void {
        gateway.manner = manner;
        this.#record({ type: "gatewayCutFromServers", gateway: gateway.name });
    }

    restore(gateway: ReachGateway): void {
        gateway.manner = undefined;
        this.#record({ type: "gatewayLinksRestored", gateway: gateway.name });
    }

    findGateway(port: number): ReachGateway | undefined {
        return this.gateways[port];
    }

    /** One exchange of a gateway with a server. @returns how it ends, at its time */
    async exchange(
        gateway: ReachGateway,
        server: string,
        isNew: boolean,
        timeoutMs: number,
    ): Promise<ServerContactResult> {
        const { manner } = gateway;
        const isSilent = this.deadServers.has(server) || manner === "hang" || manner === "oneWayOut"
            || manner === "oneWayBack" || (manner === "silentRefuseNew" && !isNew);
        if (isSilent) {
            await sleep(timeoutMs);
            return "silent";
        }
        await sleep(hopMs);
        const isRefused = manner === "reset" || ((manner === "refuseNew" || manner === "silentRefuseNew") && isNew);
        return isRefused ? "refused" : "heard";
    }

    async #send(gateway: ReachGateway): Promise<void> {
        const requestId = `r${++this.#requests}`;
        const idempotent = this.random.next() < 0.6;
        this.#record({ type: "callerSent", requestId, service, idempotent, gateway: gateway.name, patienceMs });
        const isServed = await this.#serve(gateway, !idempotent);
        const status = isServed ? 200 : 503;
        const more = { didRun: undefined, whole: isServed, bodyRequestId: requestId };
        this.#record({ type: "callerAnswered", requestId, status, ...more });
    }

    /** As a request goes: to another gateway where the links are known to be lost, and else through a search for a server. */
    async #serve(gateway: ReachGateway, needsNew: boolean): Promise<boolean> {
        const { reach } = gateway;
        const tried = new Set<string>();
        const untilMs = this.time.monotonicMs() + patienceMs;
        for (let sends = 0; sends < mostSends && this.time.monotonicMs() < untilMs; sends++) {
            if (await reach.whenSettled(service) !== "reached") {
                const helper = reach.stateOf(service) === "lost" && tried.size < mostHelpers
                    ? reach.chooseHelper(service, tried)
                    : undefined;
                if (helper !== undefined) {
                    tried.add(helper.name);
                    if (await this.#handOver(gateway, helper.name, helper.peerAddress.port)) {
                        return true;
                    }
                    continue;
                }
                if (reach.stateOf(service) === "lost" && tried.size < mostHelpers) {
                    reach.onNoHelper(service);
                }
                if (!reach.takeOwnTry(service)) {
                    return false;
                }
            }
            const server = await this.#search(gateway);
            if (server === undefined) {
                if (await reach.whenSettled(service) !== "lost") {
                    return false;
                }
                continue;
            }
            if (await this.#contact(gateway, server, needsNew, connectMs) === "heard") {
                await sleep(workMs);
                return true;
            }
        }
        return false;
    }

    async #search(gateway: ReachGateway): Promise<string | undefined> {
        for (const timeoutMs of questionMs) {
            const servers = Array.from({ length: askedAtOnce }, () => `server-${this.#draw(this.size.servers)}`);
            const ends = await Promise.all(servers.map(id => this.#contact(gateway, id, false, timeoutMs)));
            const heard = servers.find((_, i) => ends[i] === "heard");
            if (heard !== undefined || gateway.reach.stateOf(service) === "lost") {
                return heard;
            }
            await sleep(10 + 15 * this.random.next());
        }
        return undefined;
    }

    async #contact(
        gateway: ReachGateway,
        server: string,
        isNew: boolean,
        timeoutMs: number,
    ): Promise<ServerContactResult> {
        const startedAtMs = this.time.monotonicMs();
        const end = await this.exchange(gateway, server, isNew, timeoutMs);
        gateway.reach.onContact({ service, serverId: server, isNewConnection: isNew, end, startedAtMs });
        return end;
    }

    async #handOver(gateway: ReachGateway, name: string, port: number): Promise<boolean> {
        const helper = this.findGateway(port);
        const { helpers } = gateway.reach;
        if (helper === undefined || helper.isDead) {
            await sleep(connectMs);
            helpers.onUnresponsive(name, this.time.monotonicMs());
            return false;
        }
        const end = helpers.trackRequest(name);
        await sleep(hopMs);
        const reaches = helper.reach.stateOf(service) === "reached" && await this.#serveHere(helper);
        await sleep(hopMs);
        end();
        const nowMs = this.time.monotonicMs();
        helpers.onReachability(service, name, reaches, nowMs);
        helpers.onSuggested(service, helper.reach.helpers.suggest(service, nowMs), nowMs);
        this.handedOver += reaches ? 1 : 0;
        return reaches;
    }

    /** A request of another gateway goes no further. */
    async #serveHere(gateway: ReachGateway): Promise<boolean> {
        for (let sends = 0; sends < 3; sends++) {
            const server = await this.#search(gateway);
            if (server === undefined) {
                return false;
            }
            if (await this.#contact(gateway, server, sends > 0, connectMs) === "heard") {
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
        this.history.push({ ...event, sequence: this.history.length, atMs: this.time.monotonicMs(), process: "" });
    }

    #draw(count: number): number {
        return Math.floor(this.random.next() * count);
    }
}

class LinkProbe extends ServerProbe {
    readonly #fleet: ReachFleet;
    readonly #gateway: ReachGateway;

    constructor(fleet: ReachFleet, gateway: ReachGateway) {
        super();
        this.#fleet = fleet;
        this.#gateway = gateway;
    }

    override probe(_service: string, { id }: RegisteredServer): Promise<ServerContactResult> {
        return this.#fleet.exchange(this.#gateway, id, true, askMs);
    }
}

class FleetPeers extends PeerReach {
    readonly #fleet: ReachFleet;

    constructor(fleet: ReachFleet) {
        super();
        this.#fleet = fleet;
    }

    override async ask({ port }: ServerAddress, asked: string): Promise<ReachAnswer | undefined> {
        const peer = this.#fleet.findGateway(port);
        if (peer === undefined || peer.isDead || !this.#fleet.size.askEachOther) {
            await sleep(connectMs);
            return undefined;
        }
        await sleep(hopMs);
        const answer = await peer.reach.tell(asked);
        await sleep(hopMs);
        return answer;
    }
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}
