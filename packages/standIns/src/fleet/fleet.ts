import { type ConfigurationInput } from "@galenaglade/configuration";
import { type HostEntry } from "@galenaglade/platform";
import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { stringify } from "yaml";
import { type WorkTimeOptions } from "../backendServer/workTime.js";
import { type StartedProcess, startProcess } from "../processes/startProcess.js";
import { placeOnLoopback } from "./fleetConfiguration.js";
import { findFreePorts } from "./freePorts.js";

/** What a fleet on loopback consists of. */
export interface FleetOptions {
    /** Declarations whose backend servers get a stand-in each. */
    readonly configuration: ConfigurationInput;
    readonly gateways: number;
    readonly admin: boolean;
    /** Program of the gateways, where it isn't the usual one. */
    readonly gatewayProgram?: GatewayProgram | undefined;
    /** Whether histories are kept, see {@link Fleet.histories}. */
    readonly history?: boolean | undefined;
    readonly workTime?: WorkTimeOptions | undefined;
    /** Says what is being started. */
    readonly onProgress?: ((text: string) => void) | undefined;
}

/** A program that takes a gateway's settings. */
export interface GatewayProgram {
    readonly script: string;
    /** Arguments besides `--settings FILE`. */
    readonly args: readonly string[];
}

/** A backend server's stand-in and what it stands in for. */
export interface FleetBackendServer {
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly process: StartedProcess;
}

/** A gateway's process and its ports. */
export interface FleetGateway {
    readonly name: string;
    readonly availabilityZone: string;
    readonly process: StartedProcess;
    /** Readiness and metrics. */
    readonly operationsUrl: string;
}

/** Programs start with about half a second of work each; more at once would only wait for the processors. */
const startedAtOnce = 4;
const portsPerGateway = 3;

const scripts = {
    platform: findScript("../platform/cli.ts"),
    backendServer: findScript("../backendServer/cli.ts"),
    gateway: findScript("../../../gateway/src/cli.ts"),
    admin: findScript("../../../admin/src/cli.ts"),
};

/** The whole system on loopback: stand-in platform and backend servers, real gateways and admin, a process each. */
export class Fleet {
    /** Where settings, logs and histories are; removed at the stop. */
    readonly directory = mkdtempSync(join(tmpdir(), "galenaglade-"));
    /** Shared by all processes of this fleet. */
    readonly fleetKey = randomBytes(32).toString("hex");
    readonly #options: FleetOptions;
    readonly #backendServers: FleetBackendServer[] = [];
    readonly #gateways: FleetGateway[] = [];
    #platform: StartedProcess | undefined;
    #admin: StartedProcess | undefined;

    private constructor(options: FleetOptions) {
        this.#options = options;
    }

    /**
     * Starts everything; nothing is configured yet.
     *
     * @throws Error where a program doesn't become ready; all are stopped first
     */
    static async start(options: FleetOptions): Promise<Fleet> {
        const fleet = new Fleet(options);
        try {
            await fleet.#startAll();
        }
        catch (err) {
            await fleet.stop();
            throw err;
        }
        return fleet;
    }

    get backendServers(): readonly FleetBackendServer[] {
        return this.#backendServers;
    }

    get gateways(): readonly FleetGateway[] {
        return this.#gateways;
    }

    get platformUrl(): string {
        return this.#platform?.url ?? "";
    }

    /** Where operators call; empty without admin. */
    get adminUrl(): string {
        return this.#admin?.url ?? "";
    }

    /** The declarations with every backend server where its stand-in listens. */
    get configuration(): ConfigurationInput {
        const ports = new Map(
            this.#backendServers.map(server => [`${server.service}/${server.name}`, server.process.url]),
        );
        return placeOnLoopback(this.#options.configuration, (service, server) => {
            return Number(new URL(ports.get(`${service}/${server}`) ?? "").port);
        });
    }

    /** Files of the histories that the stand-ins keep. */
    get histories(): readonly string[] {
        return this.#options.history === true
            ? this.#backendServers.map(server => this.#historyPath(server.service, server.name))
            : [];
    }

    /** Waits until every gateway says that it is ready. */
    async becomeReady(withinMs = 60_000): Promise<void> {
        const untilMs = performance.now() + withinMs;
        for (const gateway of this.#gateways) {
            for (
                let reason = await readReadiness(gateway);
                reason !== undefined;
                reason = await readReadiness(gateway)
            ) {
                if (performance.now() > untilMs || gateway.process.exit !== undefined) {
                    throw new Error(`${gateway.name} is not ready: ${reason}`);
                }
                await new Promise(resolve => setTimeout(resolve, 100));
            }
        }
    }

    /**
     * Stops every gateway as planned, then starts as many of another program.
     *
     * @param program - what to start
     * @throws Error where one didn't end with code 0, or isn't ready in time
     */
    async replaceGateways(program: GatewayProgram): Promise<void> {
        const exits = await Promise.all(this.#gateways.map(gateway => gateway.process.stop()));
        if (exits.some(exit => exit.code !== 0)) {
            throw new Error(`a gateway did not end its planned stop with code 0: ${JSON.stringify(exits)}`);
        }
        this.#gateways.length = 0;
        await this.#startGateways(await findFreePorts(this.#options.gateways * portsPerGateway), program);
        await this.#publishHosts();
        await this.becomeReady();
    }

    /**
     * Planned stop of all: operators' server, gateways, backend servers, platform.
     *
     * @returns names of those that didn't end with code 0
     */
    async stop(): Promise<readonly string[]> {
        const waves = [
            this.#admin === undefined ? [] : [this.#admin],
            this.#gateways.map(gateway => gateway.process),
            this.#backendServers.map(server => server.process),
            this.#platform === undefined ? [] : [this.#platform],
        ];
        const failed: string[] = [];
        for (const wave of waves) {
            const exits = await Promise.all(wave.map(started => started.stop()));
            for (const [i, exit] of exits.entries()) {
                if (exit.code !== 0) {
                    failed.push(`${wave[i]?.name ?? ""} (${exit.code ?? exit.signal ?? ""})`);
                }
            }
        }
        rmSync(this.directory, { recursive: true, force: true });
        return failed;
    }

    async #startAll(): Promise<void> {
        this.#progress("stand-in platform");
        this.#platform = await startProcess({
            name: "platform",
            script: scripts.platform,
            logPath: this.#logPath("platform"),
        });
        await this.#startBackendServers();
        const ports = await findFreePorts(this.#options.gateways * portsPerGateway + 1);
        await this.#startGateways(ports, this.#options.gatewayProgram ?? { script: scripts.gateway, args: [] });
        if (this.#options.admin) {
            await this.#startAdmin(ports.at(-1) ?? 0);
        }
        await this.#publishHosts();
    }

    async #startBackendServers(): Promise<void> {
        const declared = this.#options.configuration.services.flatMap(service =>
            service.backendServers.map(server => ({ service: service.name, server }))
        );
        this.#progress(`${declared.length} backend servers`);
        const workTime = this.#options.workTime;
        await eachOf(declared, async ({ service, server }, i) => {
            const process = await startProcess({
                name: `${service}/${server.name}`,
                script: scripts.backendServer,
                logPath: this.#logPath(server.name),
                args: [
                    ...["--name", server.name, "--zone", server.availabilityZone, "--seed", String(i + 1)],
                    ...server.slots === undefined ? [] : ["--slots", String(server.slots)],
                    ...workTime === undefined ? [] : [
                        ...["--work-median-ms", String(workTime.medianMs)],
                        ...["--work-sigma", String(workTime.sigma)],
                    ],
                    ...this.#options.history === true ? ["--history", this.#historyPath(service, server.name)] : [],
                ],
            });
            this.#backendServers.push({
                service,
                name: server.name,
                availabilityZone: server.availabilityZone,
                process,
            });
        });
    }

    async #startGateways(ports: readonly number[], program: GatewayProgram): Promise<void> {
        this.#progress(`${this.#options.gateways} gateways`);
        const zones = this.#options.configuration.availabilityZones;
        const numbers = Array.from({ length: this.#options.gateways }, (_, i) => i);
        const peerPorts = numbers.map(i => ports[i * portsPerGateway] ?? 0);
        await eachOf(numbers, async i => {
            const name = `gateway-${i + 1}`;
            const availabilityZone = zones[i % zones.length]?.name ?? "";
            const operationsPort = ports[i * portsPerGateway + 1] ?? 0;
            const settings = this.#writeSettings(name, {
                name,
                availabilityZone,
                callers: { address: "127.0.0.1", port: ports[i * portsPerGateway + 2] },
                peers: {
                    address: "127.0.0.1",
                    port: peerPorts[i],
                    seeds: peerPorts.filter((_, j) => j !== i).map(port => `127.0.0.1:${port}`),
                },
                operations: { port: operationsPort },
                platform: { address: this.platformUrl },
                fleetKey: { value: this.fleetKey },
                stopping: { balancerWaitMs: 100 },
            });
            const process = await startProcess({
                name,
                script: program.script,
                logPath: this.#logPath(name),
                args: ["--settings", settings, ...program.args],
            });
            const operationsUrl = `http://127.0.0.1:${operationsPort}`;
            this.#gateways.push({ name, availabilityZone, process, operationsUrl });
        });
    }

    async #startAdmin(port: number): Promise<void> {
        this.#progress("admin");
        const settings = this.#writeSettings("admin", {
            address: "127.0.0.1",
            port,
            platform: { address: this.platformUrl },
            fleetKey: { value: this.fleetKey },
        });
        this.#admin = await startProcess({
            name: "admin",
            script: scripts.admin,
            logPath: this.#logPath("admin"),
            args: ["--settings", settings],
        });
    }

    async #publishHosts(): Promise<void> {
        const hosts: HostEntry[] = [...this.#gateways, ...this.#backendServers].map(({ name, availabilityZone }) => ({
            name,
            address: "127.0.0.1",
            availabilityZone,
            state: "live",
        }));
        const res = await request(`${this.platformUrl}/hosts`, { method: "PUT", body: JSON.stringify(hosts) });
        await res.body.dump();
    }

    #writeSettings(name: string, settings: unknown): string {
        const path = join(this.directory, `${name}.yaml`);
        writeFileSync(path, stringify(settings), { mode: 0o600 });
        return path;
    }

    #logPath(name: string): string {
        return join(this.directory, `${name}.log`);
    }

    #historyPath(service: string, server: string): string {
        return join(this.directory, `${service}-${server}.history.jsonl`);
    }

    #progress(text: string): void {
        this.#options.onProgress?.(text);
    }
}

function findScript(relative: string): string {
    return fileURLToPath(new URL(relative, import.meta.url));
}

/** @returns why the gateway isn't ready, or `undefined` where it is */
async function readReadiness(gateway: FleetGateway): Promise<string | undefined> {
    try {
        const res = await request(`${gateway.operationsUrl}/readyz`);
        const reason = await res.body.text();
        return res.statusCode === 200 ? undefined : reason.trim();
    }
    catch (err) {
        return err instanceof Error ? err.message : "failed";
    }
}

async function eachOf<T>(items: readonly T[], run: (item: T, i: number) => Promise<void>): Promise<void> {
    let next = 0;
    const work = async (): Promise<void> => {
        while (next < items.length) {
            const i = next++;
            await run(items[i] as T, i);
        }
    };
    await Promise.all(Array.from({ length: startedAtOnce }, work));
}
