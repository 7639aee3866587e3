import {
    type FleetSnapshot,
    PlacementState,
    type PlacementPolicy,
    RepeatBudget,
    resolvePlacementPolicy,
    type SearchInput,
    ServerSearch,
    StartupQueue,
    startupQueueMs,
} from "@galenaglade/placement";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type Attempt } from "./attempt.js";
import { ConnectionPool } from "./connectionPool.js";
import { type EventQueue } from "./eventQueue.js";
import { type FleetDirectory } from "./fleetDirectory.js";
import { SimulatedEventLoop } from "./simulatedEventLoop.js";
import { type Costs, type Scenario } from "./scenario.js";
import { RandomFinder, ServerFinder } from "./serverFinder.js";

/** How long idle connections are kept, and the maximum number per server. */
const connectionIdleTimeoutMs = 8_000;
const maxIdleConnectionsPerServer = 4;

/** Settings and dependencies of a simulated gateway. */
export interface SimulatedGatewayDeps {
    readonly name: string;
    readonly zone: string;
    readonly cores: number;
    readonly seed: number;
    readonly events: EventQueue;
    readonly directory: FleetDirectory;
    readonly scenario: Scenario;
    /** Names of the gateways in its membership view. */
    readonly knownGateways: () => readonly string[];
    /** Those in its own zone. */
    readonly knownInZone: () => readonly string[];
    /** All known gateways by zone. */
    readonly knownByZone: () => ReadonlyMap<string, readonly string[]>;
    /** Start time of the process; negative to start it before the replay, so that its budgets have filled up. */
    readonly startedAtMs: number;
}

/** A simulated gateway: the production placement decisions on a simulated event loop and simulated connections. */
export class SimulatedGateway {
    readonly name: string;
    readonly zone: string;
    readonly events: EventQueue;
    readonly directory: FleetDirectory;
    readonly eventLoop: SimulatedEventLoop;
    readonly policy: PlacementPolicy;
    readonly random: RandomSource;
    readonly attempts = new Set<Attempt>();
    placementState: PlacementState;
    repeatBudget: RepeatBudget;
    connections: ConnectionPool;
    /** Incremented on each restart. Callbacks that an earlier process incarnation scheduled are dropped. */
    incarnation = 0;
    /** Number of arrivals at servers after the first one of each attempt. */
    repeatedArrivals = 0;
    #upAtMs = -Infinity;
    #firstReadAtMs = -Infinity;
    /** Number of requests held until the first read of the store. */
    heldAtStart = 0;
    /** Queue for the requests of the first seconds after a restart. */
    startupQueue: StartupQueue<Attempt> | undefined;
    #connectionsOpenedBefore = 0;
    #requestsSinceStart: number;
    readonly #deps: SimulatedGatewayDeps;

    constructor(deps: SimulatedGatewayDeps) {
        this.#deps = deps;
        this.name = deps.name;
        this.zone = deps.zone;
        this.events = deps.events;
        this.directory = deps.directory;
        this.eventLoop = new SimulatedEventLoop(deps.events, deps.cores);
        this.policy = resolvePlacementPolicy(deps.scenario.policy);
        this.random = createRandomSource(deps.seed);
        this.#requestsSinceStart = deps.scenario.costs.coldCodeRequests;
        this.placementState = this.#createPlacementState(deps.startedAtMs);
        this.repeatBudget = new RepeatBudget(deps.scenario.repeats, deps.name, deps.startedAtMs);
        this.connections = new ConnectionPool(connectionIdleTimeoutMs, maxIdleConnectionsPerServer);
    }

    get costs(): Costs {
        return this.#deps.scenario.costs;
    }

    get isUp(): boolean {
        return this.events.nowMs >= this.#upAtMs;
    }

    /** Time until the first read of the store is complete, in milliseconds. */
    get firstReadRemainingMs(): number {
        return Math.max(0, this.#firstReadAtMs - this.events.nowMs);
    }

    /** Time since this process incarnation accepts requests, in milliseconds. */
    get sinceStartMs(): number {
        return this.events.nowMs - this.#upAtMs;
    }

    get holdsAtStart(): boolean {
        return this.#deps.scenario.holdsAtStart;
    }

    /** Number of connections opened to servers by all process incarnations. */
    get connectionsOpened(): number {
        return this.#connectionsOpenedBefore + this.connections.opened;
    }

    /** @returns names of the gateways that it assumes to share a fleet-wide budget with, itself included */
    knownGateways(): readonly string[] {
        return this.#deps.knownGateways();
    }

    /** Runs a task on the event loop, unless the process is restarted before it ends. */
    execute(costMs: number, run: () => void): void {
        const { incarnation } = this;
        const { coldCodeFactor, coldCodeRequests } = this.costs;
        const factor = this.#requestsSinceStart < coldCodeRequests ? coldCodeFactor : 1;
        this.eventLoop.execute(costMs * factor, () => {
            if (incarnation === this.incarnation) {
                run();
            }
        });
    }

    /** Schedules a callback, unless the process is restarted before. */
    schedule(delayMs: number, run: () => void): void {
        const { incarnation } = this;
        this.events.schedule(delayMs, () => {
            if (incarnation === this.incarnation) {
                run();
            }
        });
    }

    /** Counts a request that arrived from a caller. */
    onRequest(service: string, priority: number): void {
        this.#requestsSinceStart++;
        this.repeatBudget.onRequest(service);
        this.placementState.onRequest(service, priority, this.events.nowMs);
    }

    /** Loses power for `downMs`; then a new process starts without any state. */
    restart(downMs: number): void {
        const interrupted = [...this.attempts];
        this.attempts.clear();
        this.incarnation++;
        this.#connectionsOpenedBefore += this.connections.opened;
        this.eventLoop.restart();
        const { startMs, firstReadMs } = this.costs;
        const startedAtMs = this.events.nowMs + downMs;
        this.#upAtMs = startedAtMs + startMs / Math.min(1, this.#deps.cores);
        this.#firstReadAtMs = this.#upAtMs + firstReadMs;
        this.heldAtStart = 0;
        this.startupQueue = new StartupQueue(startedAtMs);
        this.#requestsSinceStart = 0;
        this.placementState = this.#createPlacementState(startedAtMs);
        this.repeatBudget = new RepeatBudget(this.#deps.scenario.repeats, this.name, startedAtMs);
        this.connections = new ConnectionPool(connectionIdleTimeoutMs, maxIdleConnectionsPerServer);
        this.schedule(downMs + startupQueueMs, () => this.dequeueReady());
        for (const attempt of interrupted) {
            attempt.onPowerLost();
        }
    }

    /** Starts the requests that the startup queue releases now. */
    dequeueReady(): void {
        const { startupQueue } = this;
        for (const { item } of startupQueue?.takeReady(this.events.nowMs) ?? []) {
            item.onDequeued();
        }
    }

    onAttemptSent(attempt: Attempt): void {
        this.startupQueue?.onSent(attempt);
        this.dequeueReady();
    }

    onAttemptEnded(attempt: Attempt): void {
        this.startupQueue?.onEnded(attempt);
        this.dequeueReady();
    }

    /** @returns its current view of the fleet and of the usable servers of a service */
    snapshot(service: string): FleetSnapshot {
        return {
            usable: this.directory.usable(service).filter(server =>
                this.placementState.exclusionOf(server, this.events.nowMs) === undefined
            ),
            gateways: this.#deps.knownGateways(),
            zoneGateways: this.#deps.knownInZone(),
            gatewaysByZone: this.#deps.knownByZone(),
            sinceStoreContactMs: 0,
            nowMs: this.events.nowMs,
        };
    }

    createFinder(input: SearchInput): ServerFinder {
        return this.#deps.scenario.randomPlacement
            ? new RandomFinder(this.random)
            : new SearchFinder(this.placementState, input);
    }

    #createPlacementState(startedAtMs: number): PlacementState {
        const { name, zone, scenario } = this.#deps;
        return new PlacementState({
            name,
            availabilityZone: zone,
            random: this.random,
            probesPerServerAndSecond: scenario.probesPerServerAndSecond,
            startedAtMs,
            policy: this.policy,
        });
    }
}

class SearchFinder extends ServerFinder {
    readonly #search: ServerSearch;

    constructor(board: PlacementState, input: SearchInput) {
        super();
        this.#search = new ServerSearch(board, input);
    }

    override step(snapshot: FleetSnapshot): ReturnType<ServerSearch["step"]> {
        return this.#search.step(snapshot);
    }
}
