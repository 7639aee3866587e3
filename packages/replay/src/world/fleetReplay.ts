import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { Attempt, type AttemptOutcome } from "./attempt.js";
import { CallerGenerator } from "./callerGenerator.js";
import { type CallerBehaviorOverrides } from "./callerBehavior.js";
import { EventQueue } from "./eventQueue.js";
import { FleetDirectory } from "./fleetDirectory.js";
import { FleetEventScheduler } from "./fleetEventScheduler.js";
import { type Scenario, type ServiceGroup } from "./scenario.js";
import { type SimulatedCaller } from "./simulatedCaller.js";
import { SimulatedGateway } from "./simulatedGateway.js";
import { SimulatedServer } from "./simulatedServer.js";

/**
 * Maximum number of events per simulated millisecond. More of them indicate an event that schedules itself without end.
 */
const maxEventsPerMs = 2_000;
/** How long a caller tries to connect to a gateway, and the mean delay between two tries. */
const connectTimeoutMs = 1_000;
const connectRetryMs = 100;
/** Maximum wait of a refused caller before its next try, as a share of the time that it has left. */
const maxWaitShare = 1 / 3;

/** Hooks to observe and change the fleet during a replay. */
export interface ReplayHooks {
    readonly callerBehavior?: CallerBehaviorOverrides;
    /** Called at the start, and then every `everyMs` milliseconds. */
    readonly onTick?: { readonly everyMs: number; readonly run: (fleet: FleetReplay, nowMs: number) => void; };
}

/** Simulates the gateways, backend servers and callers of one scenario on a virtual clock. */
export class FleetReplay {
    readonly scenario: Scenario;
    readonly events = new EventQueue();
    readonly directory: FleetDirectory;
    readonly gateways: readonly SimulatedGateway[];
    readonly callers: SimulatedCaller[] = [];
    readonly callerGenerator: CallerGenerator;
    /** Number of tries of all callers. */
    tries = 0;
    /** Number of requests that gateways refused. */
    refusals = 0;
    readonly #hooks: ReplayHooks;
    readonly #random: RandomSource;
    readonly #eventScheduler: FleetEventScheduler;
    #serverCount = 0;

    constructor(scenario: Scenario, hooks: ReplayHooks = {}) {
        this.scenario = scenario;
        this.#hooks = hooks;
        this.#random = createRandomSource(scenario.seed);
        this.directory = new FleetDirectory(scenario.services.map(createRules));
        for (const service of scenario.services) {
            for (let i = 0; i < service.servers; i++) {
                this.addServer(service, this.#zoneOf(i));
            }
        }
        this.gateways = this.#createGateways();
        this.callerGenerator = new CallerGenerator(
            scenario,
            this.events,
            hooks.callerBehavior ?? {},
            caller => this.#onArrival(caller),
        );
        this.#eventScheduler = new FleetEventScheduler(this);
    }

    get servers(): readonly SimulatedServer[] {
        return this.directory.servers;
    }

    /** Runs the scenario to its end. */
    run(): this {
        const { durationMs } = this.scenario;
        this.callerGenerator.start();
        this.#eventScheduler.scheduleAll();
        this.#tick();
        this.events.runUntil(durationMs, durationMs * maxEventsPerMs);
        return this;
    }

    /** Adds a server to the fleet, which is cold until the given time. */
    addServer({ name, shape }: ServiceGroup, zone: string, coldUntilMs = -Infinity): SimulatedServer {
        const id = `server-${this.#serverCount++}`;
        const registered: RegisteredServer = {
            id,
            service: name,
            address: { host: "127.0.0.1", port: 1 },
            availabilityZone: zone,
            slots: shape.slots,
            state: "ready",
            coldRemainingMs: 0,
            startedAtEpochMs: undefined,
        };
        const server = new SimulatedServer(
            registered,
            shape,
            this.events,
            createRandomSource(this.#random.nextInt(2 ** 31)),
        );
        server.coldUntilMs = coldUntilMs;
        this.directory.add(server);
        return server;
    }

    /** Restarts a share of the gateways, which lose their state and connections. */
    restartGateways(share: number, downMs: number): void {
        for (const gateway of this.gateways.slice(0, Math.round(this.gateways.length * share))) {
            gateway.restart(downMs);
        }
    }

    #zoneOf(i: number): string {
        const { zones } = this.scenario;
        return zones[i % zones.length] ?? "";
    }

    #createGateways(): readonly SimulatedGateway[] {
        const { gateways, unknownGateways, repeats } = this.scenario;
        const sizes = gateways.flatMap(({ count, cores }) => Array.from({ length: count }, () => cores));
        const names = sizes.map((_, i) => `gateway-${i}`);
        return sizes.map((cores, i) => {
            const name = names[i] ?? "";
            const unknownShare = this.#random.next() * unknownGateways;
            const known = unknownShare === 0
                ? names
                : names.filter(other => other === name || this.#random.next() >= unknownShare);
            const zone = this.#zoneOf(i);
            const knownByZone = this.#groupByZone(known, names);
            const knownInZone = knownByZone.get(zone) ?? [];
            return new SimulatedGateway({
                name,
                zone,
                cores,
                seed: this.#random.nextInt(2 ** 31),
                events: this.events,
                directory: this.directory,
                scenario: this.scenario,
                knownGateways: () => known,
                knownInZone: () => knownInZone,
                knownByZone: () => knownByZone,
                startedAtMs: -repeats.windowMs,
            });
        });
    }

    #groupByZone(known: readonly string[], names: readonly string[]): ReadonlyMap<string, readonly string[]> {
        const byZone = new Map<string, string[]>();
        for (const name of known) {
            const zone = this.#zoneOf(names.indexOf(name));
            byZone.set(zone, [...byZone.get(zone) ?? [], name]);
        }
        return byZone;
    }

    #onArrival(caller: SimulatedCaller): void {
        this.callers.push(caller);
        this.events.schedule(caller.patienceMs, () => {
            caller.end ??= "gaveUp";
        });
        this.#try(caller);
    }

    #try(caller: SimulatedCaller): void {
        if (!caller.isWaiting(this.events.nowMs)) {
            return;
        }
        caller.tries++;
        this.tries++;
        this.#connect(caller, this.events.nowMs + connectTimeoutMs);
    }

    #connect(caller: SimulatedCaller, untilMs: number): void {
        const gateway = this.#pickGateway(caller.zone);
        if (gateway !== undefined) {
            new Attempt(gateway, caller, end => this.#onAttemptEnd(caller, end)).start();
            return;
        }
        if (this.events.nowMs >= untilMs) {
            this.#onAttemptEnd(caller, { type: "failed" });
            return;
        }
        this.events.schedule(connectRetryMs * (0.5 + this.#random.next()), () => this.#connect(caller, untilMs));
    }

    #pickGateway(zone: string): SimulatedGateway | undefined {
        const up = this.gateways.filter(gateway => gateway.isUp);
        const near = up.filter(gateway => gateway.zone === zone);
        const choice = near.length > 0 ? near : up;
        return choice[this.#random.nextInt(choice.length)];
    }

    #onAttemptEnd(caller: SimulatedCaller, end: AttemptOutcome): void {
        const { nowMs } = this.events;
        if (!caller.isWaiting(nowMs)) {
            return;
        }
        if (end.type === "answered") {
            caller.answeredAtMs = nowMs;
            caller.end = "answered";
            return;
        }
        this.refusals += end.type === "refused" ? 1 : 0;
        const mayRetry = end.type === "refused" || caller.kind.idempotent;
        if (!mayRetry || caller.tries >= caller.maxTries) {
            caller.end = end.type;
            return;
        }
        const retryAfterMs = end.type === "refused" ? end.retryAfterMs : 0;
        const waitMs = caller.retriesImmediately
            ? 0
            : Math.min(retryAfterMs, (caller.givesUpAtMs - nowMs) * maxWaitShare);
        this.events.schedule(waitMs, () => this.#try(caller));
    }

    #tick(): void {
        const { onTick } = this.#hooks;
        if (onTick !== undefined) {
            onTick.run(this, this.events.nowMs);
            this.events.schedule(onTick.everyMs, () => this.#tick());
        }
    }
}

function createRules({ name, coldPerSecond }: ServiceGroup): ServiceRules {
    return { name, healthPath: "/health", maximumConnections: 200, coldRequestsPerSecond: coldPerSecond };
}
