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
/** Work time of the requests that open the connections of {@link FleetRun.openIdleConnections}, in milliseconds. */
const connectWorkMs = 200;
/** Timeout until the roster holds every gateway, in milliseconds. */
const rosterTimeoutMs = 60_000;
const warmUpTimeoutMs = 60_000;
const warmUpMs = 1_500;
const warmUpRequestsPerSecond = 60;

/** Status and metadata of the response to a request with an idempotency key. */
export interface KeyedResponse {
    readonly status: number;
    readonly didRun: string | undefined;
}

/** Configuration of the test deployment: one service in three availability zones. */
function createConfiguration(): ConfigurationInput {
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
                    // Replaced by the address of the stand-in.
                    address: "127.0.0.1",
                    port: 1,
                }))
            ),
        }],
    };
}

/** A fleet of real processes with one service, an operator and callers, and a history of all their events. */
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

    /** Starts the processes and waits until the first configuration is in force and every backend server is warm. */
    static async start(gateways: number): Promise<FleetRun> {
        const run = await FleetRun.startCold(gateways, false);
        await run.#warmUp();
        return run;
    }

    /**
     * Starts the processes and waits until the first configuration is in force. No requests have been sent to backend
     * servers yet.
     *
     * @param gateways - number of gateways
     * @param startsCold - whether the backend servers start cold and gateways enforce the cold-start limits
     */
    static async startCold(gateways: number, startsCold = true): Promise<FleetRun> {
        const fleet = await Fleet.start({
            configuration: createConfiguration(),
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

    gateway(index: number): FleetGateway {
        const gateway = this.fleet.gateways[index];
        if (gateway === undefined) {
            throw new Error(`there is no gateway ${index}`);
        }
        return gateway;
    }

    /** Takes a zone out of service and waits until the change is in force. */
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

    /** Replaces the faults injected into the stand-in platform. */
    async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
        const res = await request(`${this.fleet.platformUrl}/faults`, { method: "PUT", body: JSON.stringify(faults) });
        await res.body.dump();
        if (res.statusCode >= 300) {
            throw new Error(`could not set the platform's faults: status ${res.statusCode}`);
        }
    }

    /** Sends table reads to the gateways at a constant mean rate, open loop. @returns counts and latencies */
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
     * Opens idle caller connections without a response timeout.
     *
     * @returns a function that sends one table read on each connection and returns the status codes
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
        // Long enough that no request completes before the last connection is open, so that none is reused.
        await readOnAll(connectWorkMs);
        return async () => {
            const statuses = await readOnAll(1);
            await agent.close();
            return statuses;
        };
    }

    /** Posts a return with an idempotency key. @returns the response; `undefined` if the connection was lost */
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

    /** @returns the events of all processes, in the order of the machine's clock */
    history(): readonly HistoryLine[] {
        return mergeHistories(this.fleet.historyFiles, [this.#operator, ...this.#callers]);
    }

    /** Stops all processes gracefully. @returns names of the processes that didn't exit with code 0 */
    async stop(): Promise<readonly string[]> {
        await this.#configurer.close();
        return await this.fleet.stop();
    }

    /**
     * Waits until the roster holds every gateway. Right after the start it holds only some of them, and pausing one of
     * those blocks every change, as intended; tests of a running fleet start once all gateways are in it.
     */
    async #waitForRoster(gateways: number): Promise<void> {
        const connection = new PlatformClient({ addresses: [this.fleet.platformUrl], client: "observer" });
        const store = new HttpKeyValueStore(connection);
        const untilMs = performance.now() + rosterTimeoutMs;
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
        throw new Error("timed out before the roster held every gateway");
    }

    /** Sends requests until all succeed and every backend server has handled one. */
    async #warmUp(): Promise<void> {
        const untilMs = performance.now() + warmUpTimeoutMs;
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
        throw new Error("timed out before every backend server was warm");
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
