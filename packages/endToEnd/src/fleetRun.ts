import {
    type ConfigurationInput,
    resolveConfiguration,
    setZoneState,
    type ZoneState,
} from "@galenaglade/configuration";
import { type HistoryLine } from "@galenaglade/history";
import { type Roster, storeKeys } from "@galenaglade/membership";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import {
    Caller,
    callerPlanSchema,
    Fleet,
    FleetConfigurer,
    type FleetGateway,
    MemoryHistoryRecorder,
    mergeHistories,
    type PlatformFaults,
    type OutcomeTally,
} from "@galenaglade/stand-ins";
import { Agent, request } from "undici";

const zones = ["north", "south", "west"];
const serversPerZone = 2;
const patienceMs = 4_000;
/** Work of the requests that open a patient caller's connection. */
const openingWorkMs = 200;
/** Wide limit on an event that has to come. */
const rosterWithinMs = 60_000;
const warmWithinMs = 60_000;
const warmUpMs = 1_500;
const warmUpRequestsPerSecond = 60;

/** What a caller with an idempotency key was told. */
export interface KeyedResponse {
    readonly status: number;
    readonly didRun: string | undefined;
}

/** The small deployment that the tests bring up: one service in three availability zones. */
function describeDeployment(): ConfigurationInput {
    return {
        availabilityZones: zones.map(name => ({ name })),
        services: [{
            name: "tables",
            authorities: ["*"],
            nonIdempotentMethods: ["POST"],
            patience: [{ callerKind: "default", patienceMs }],
            backendServers: zones.flatMap(availabilityZone =>
                Array.from({ length: serversPerZone }, (_, i) => ({
                    name: `tables-${availabilityZone}-${i}`,
                    availabilityZone,
                    // Replaced by where its stand-in listens.
                    address: "127.0.0.1",
                    port: 1,
                }))
            ),
        }],
    };
}

/** A fleet of real processes with one service, an operator, callers and a history of all that happens. */
export class FleetRun {
    readonly fleet: Fleet;
    readonly #configurer: FleetConfigurer;
    readonly #operator = new MemoryHistoryRecorder("operator");
    readonly #callers: MemoryHistoryRecorder[] = [];
    readonly #zoneStates = new Map<string, ZoneState>();

    private constructor(fleet: Fleet) {
        this.fleet = fleet;
        this.#configurer = new FleetConfigurer(fleet);
    }

    /** Starts the processes, and waits until the first configuration is in force and every backend server is warm. */
    static async start(gateways: number): Promise<FleetRun> {
        const run = await FleetRun.startCold(gateways, false);
        await run.#warmUp();
        return run;
    }

    /**
     * Starts the processes, and waits until the first configuration is in force; no backend server was sent anything.
     *
     * @param gateways - how many
     * @param startsCold - whether the backend servers really are cold
     */
    static async startCold(gateways: number, startsCold = true): Promise<FleetRun> {
        const fleet = await Fleet.start({
            configuration: describeDeployment(),
            gateways,
            admin: false,
            recordsHistory: true,
            startsCold,
            enforcesColdStart: startsCold,
            workTime: { medianMs: 5, sigma: 0.2 },
        });
        const run = new FleetRun(fleet);
        await run.#applyZones();
        await fleet.waitUntilReady();
        await run.#waitForRoster(gateways);
        return run;
    }

    gateway(place: number): FleetGateway {
        const gateway = this.fleet.gateways[place];
        if (gateway === undefined) {
            throw new Error(`there is no gateway ${place}`);
        }
        return gateway;
    }

    /** Takes a zone out, and waits until that is in force. */
    async takeZoneOut(availabilityZone: string): Promise<void> {
        this.#zoneStates.set(availabilityZone, "out");
        await this.#applyZones();
        this.#operator.record({ type: "zoneOutAccepted", availabilityZone });
    }

    async bringZoneIn(availabilityZone: string): Promise<void> {
        this.#operator.record({ type: "zoneInRequested", availabilityZone });
        this.#zoneStates.set(availabilityZone, "in");
        await this.#applyZones();
    }

    /** Replaces the stand-in platform's faults. */
    async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
        const res = await request(`${this.fleet.platformUrl}/faults`, { method: "PUT", body: JSON.stringify(faults) });
        await res.body.dump();
        if (res.statusCode >= 300) {
            throw new Error(`the platform took no faults: ${res.statusCode}`);
        }
    }

    /** Open-loop table reads at every gateway. @returns what became of them */
    async sendReads(
        durationMs: number,
        requestsPerSecond: number,
        gateways = this.fleet.gateways,
    ): Promise<OutcomeTally> {
        const history = new MemoryHistoryRecorder(`caller-${this.#callers.length}`);
        this.#callers.push(history);
        const plan = callerPlanSchema.parse({
            name: `caller-${this.#callers.length}`,
            seed: this.#callers.length,
            targets: gateways.map(gateway => gateway.process.url),
            mix: [{ service: "tables", authority: "tables.example", patienceMs, work: { medianMs: 5, sigma: 0.2 } }],
            phases: [{ durationMs, requestsPerSecond }],
        });
        return await new Caller(plan, history).run();
    }

    /**
     * Opens connections of callers who wait for as long as it takes.
     *
     * @returns sends one table read on each of them, and gives the statuses
     */
    async openIdleConnections(gateway: FleetGateway, count: number): Promise<() => Promise<readonly number[]>> {
        const agent = new Agent({ connections: count, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
        const read = async (workMs: number): Promise<number> => {
            const res = await request(`${gateway.process.url}/tables`, {
                dispatcher: agent,
                headers: { "x-work-ms": String(workMs) },
            });
            await res.body.dump();
            return res.statusCode;
        };
        const readOnAll = (workMs: number): Promise<readonly number[]> =>
            Promise.all(Array.from({ length: count }, () => read(workMs)));
        // Long enough that none of them is done before the last has opened its connection.
        await readOnAll(openingWorkMs);
        return async () => {
            const statuses = await readOnAll(1);
            await agent.close();
            return statuses;
        };
    }

    /** Files one return under an idempotency key. @returns what the caller was told; `undefined` if it was cut off */
    async fileReturn(gateway: FleetGateway, key: string, workMs: number): Promise<KeyedResponse | undefined> {
        const history = new MemoryHistoryRecorder(`payroll-${this.#callers.length}`);
        this.#callers.push(history);
        const requestId = `${key}-${this.#callers.length}`;
        history.record({
            type: "callerSent",
            requestId,
            service: "tables",
            idempotent: false,
            idempotencyKey: key,
            patienceMs,
        });
        try {
            const res = await request(`${gateway.process.url}/returns`, {
                method: "POST",
                headers: { "idempotency-key": key, "x-request-id": requestId, "x-work-ms": String(workMs) },
                body: "wages=1",
            });
            await res.body.dump();
            const didRun = res.headers["x-galenaglade-did-run"];
            return { status: res.statusCode, didRun: typeof didRun === "string" ? didRun : undefined };
        }
        catch {
            history.record({ type: "callerCutOff", requestId });
            return undefined;
        }
    }

    /** @returns every line of every process, in the order of the machine's clock */
    history(): readonly HistoryLine[] {
        return mergeHistories(this.fleet.historyFiles, [this.#operator, ...this.#callers]);
    }

    /** Planned stop of all. @returns names of those that didn't end with code 0 */
    async stop(): Promise<readonly string[]> {
        await this.#configurer.close();
        return await this.fleet.stop();
    }

    /**
     * A fleet that has just started counts few of its gateways. One that is paused then holds up every change, as it
     * should; tests of a running fleet begin once all are counted.
     */
    async #waitForRoster(gateways: number): Promise<void> {
        const connection = new PlatformClient({ addresses: [this.fleet.platformUrl], client: "observer" });
        const store = new HttpKeyValueStore(connection);
        const untilMs = performance.now() + rosterWithinMs;
        try {
            while (performance.now() < untilMs) {
                const stored = (await store.get(storeKeys.roster)).toMaybe().extract();
                const roster = JSON.parse(stored?.value ?? "{}") as Partial<Roster>;
                if (roster.previous === undefined && roster.members?.length === gateways) {
                    return;
                }
                await new Promise(resolve => setTimeout(resolve, 100));
            }
        }
        finally {
            await connection.close();
        }
        throw new Error("the roster did not come to hold every gateway");
    }

    /**
     * Tests of a running fleet begin once every backend server has answered.
     */
    async #warmUp(): Promise<void> {
        const untilMs = performance.now() + warmWithinMs;
        while (performance.now() < untilMs) {
            const tally = await this.sendReads(warmUpMs, warmUpRequestsPerSecond);
            const { sent, whole } = tally.getCounts("tables/default");
            const started = new Set<string>();
            for (const line of this.history()) {
                if (line.type === "serverStarted") {
                    started.add(line.server);
                }
            }
            if (whole === sent && started.size === this.fleet.backendServers.length) {
                return;
            }
        }
        throw new Error("the backend servers did not become warm");
    }

    async #applyZones(): Promise<void> {
        let cfg = resolveConfiguration(this.fleet.configuration).unsafeCoerce();
        for (const [zone, state] of this.#zoneStates) {
            cfg = setZoneState(cfg, zone, state).unsafeCoerce();
        }
        const acceptance = await this.#configurer.apply(cfg);
        if (!acceptance.inForce) {
            throw new Error(`revision ${acceptance.revision} is not in force: ${JSON.stringify(acceptance.gateways)}`);
        }
    }
}
