import { type ConfigurationInput } from "@galenaglade/configuration";
import { type HostEntry } from "@galenaglade/platform";
import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { type WorkTimeDistribution } from "../backendServer/workTime.js";
import { type StartedProcess, startProcess, type StartProcessOptions } from "../processes/startProcess.js";
import { useLoopbackAddresses } from "./fleetConfiguration.js";
import { type GatewayPorts, renderAdminSettings, renderGatewaySettings, type SharedSettings } from "./fleetSettings.js";
import { findFreePorts } from "./freePorts.js";
import { waitUntilReady } from "./waitUntilReady.js";

/** Options of a fleet on loopback. */
export interface FleetOptions {
    /** Configuration; a stand-in is started for each of its backend servers. */
    readonly configuration: ConfigurationInput;
    readonly gateways: number;
    readonly admin: boolean;
    /** Program to run as gateway; defaults to the gateway package. */
    readonly gatewayProgram?: GatewayProgram | undefined;
    /** Whether the stand-in backend servers record histories, see {@link Fleet.historyFiles}. */
    readonly recordsHistory?: boolean | undefined;
    readonly workTime?: WorkTimeDistribution | undefined;
    /** Whether gateways warm up cold backend servers under permits; false by default. */
    readonly enforcesColdStart?: boolean | undefined;
    /** Whether the backend servers start cold; false by default. */
    readonly startsCold?: boolean | undefined;
    /** See {@link StartProcessOptions.ownProcessGroup}. */
    readonly ownProcessGroup?: boolean | undefined;
    /** Receives the name of each part of the fleet when it is being started. */
    readonly onProgress?: ((text: string) => void) | undefined;
}

/** A program that accepts a gateway's settings file. */
export interface GatewayProgram {
    readonly script: string;
    /** Arguments in addition to `--settings FILE`. */
    readonly args: readonly string[];
}

/** The stand-in process of a declared backend server. */
export interface FleetBackendServer {
    readonly service: string;
    readonly name: string;
    readonly availabilityZone: string;
    readonly process: StartedProcess;
}

/** A gateway's process and URL. */
export interface FleetGateway {
    readonly name: string;
    readonly availabilityZone: string;
    readonly process: StartedProcess;
    /** Base URL of the readiness and metrics endpoints. */
    readonly operationsUrl: string;
}

/** Each start takes about half a second of CPU time; starting more at once would only queue for the CPUs. */
const maxConcurrentStarts = 4;
const portsPerGateway = 3;

const scripts = {
    platform: findScript("../platform/cli.ts"),
    backendServer: findScript("../backendServer/cli.ts"),
    gateway: findScript("../../../gateway/src/cli.ts"),
    admin: findScript("../../../admin/src/cli.ts"),
};

/** A deployment on loopback with one process each: stand-in platform and backend servers, gateways, admin server. */
export class Fleet {
    /** Directory of settings, logs and histories; removed by {@link stop}. */
    readonly directory = mkdtempSync(join(tmpdir(), "galenaglade-"));
    /** Authentication key shared by all processes of this fleet. */
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
     * Starts all processes. The fleet has no configuration yet.
     *
     * @throws Error if a process doesn't become ready; all processes are stopped first
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
        return this.#backendServers.toSorted((a, b) => compareNames(a.name, b.name));
    }

    get gateways(): readonly FleetGateway[] {
        return this.#gateways.toSorted((a, b) => compareNames(a.name, b.name));
    }

    get platformUrl(): string {
        return this.#platform?.url ?? "";
    }

    /** Base URL of the admin server; empty if there is none. */
    get adminUrl(): string {
        return this.#admin?.url ?? "";
    }

    /** The configuration with the addresses that the stand-in backend servers listen on. */
    get configuration(): ConfigurationInput {
        const ports = new Map(
            this.#backendServers.map(server => [`${server.service}/${server.name}`, server.process.url]),
        );
        return useLoopbackAddresses(this.#options.configuration, (service, server) => {
            return Number(new URL(ports.get(`${service}/${server}`) ?? "").port);
        });
    }

    /** Paths of the history files that the stand-in backend servers write. */
    get historyFiles(): readonly string[] {
        return this.#options.recordsHistory === true
            ? this.#backendServers.map(server => this.#historyPath(server.service, server.name))
            : [];
    }

    /**
     * Waits until every gateway reports ready.
     *
     * @throws Error if a gateway has exited or isn't ready within the time limit
     */
    async waitUntilReady(withinMs = 60_000): Promise<void> {
        const untilMs = performance.now() + withinMs;
        for (const { process, operationsUrl } of this.#gateways) {
            await waitUntilReady(process, operationsUrl, untilMs);
        }
    }

    /**
     * Stops every gateway gracefully, then starts the same number of another program.
     *
     * @param program - the program to start
     * @throws Error if a gateway exits with a code other than 0, or a new one isn't ready within the time limit
     */
    async replaceGateways(program: GatewayProgram): Promise<void> {
        const exits = await Promise.all(this.#gateways.map(gateway => gateway.process.stop()));
        if (exits.some(exit => exit.code !== 0)) {
            throw new Error(`a gateway did not exit with code 0 on graceful shutdown: ${JSON.stringify(exits)}`);
        }
        this.#gateways.length = 0;
        await this.#startGateways(await findFreePorts(this.#options.gateways * portsPerGateway), program);
        await this.#publishHosts();
        await this.waitUntilReady();
    }

    /**
     * Stops all processes gracefully, in the order admin server, gateways, backend servers, platform.
     *
     * @returns names of the processes that didn't exit with code 0
     */
    async stop(): Promise<readonly string[]> {
        const shutdownOrder = [
            this.#admin === undefined ? [] : [this.#admin],
            this.#gateways.map(gateway => gateway.process),
            this.#backendServers.map(server => server.process),
            this.#platform === undefined ? [] : [this.#platform],
        ];
        const failed: string[] = [];
        for (const processes of shutdownOrder) {
            const exits = await Promise.all(processes.map(started => started.stop()));
            for (const [i, exit] of exits.entries()) {
                if (exit.code !== 0) {
                    failed.push(`${processes[i]?.name ?? ""} (${exit.code ?? exit.signal ?? ""})`);
                }
            }
        }
        rmSync(this.directory, { recursive: true, force: true });
        return failed;
    }

    async #startAll(): Promise<void> {
        this.#progress("stand-in platform");
        this.#platform = await this.#startProcess({
            name: "platform",
            script: scripts.platform,
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
        await forEachConcurrently(declared, async ({ service, server }, i) => {
            const process = await this.#startProcess({
                name: `${service}/${server.name}`,
                script: scripts.backendServer,
                args: [
                    ...["--name", server.name, "--zone", server.availabilityZone, "--seed", String(i + 1)],
                    ...server.slots === undefined ? [] : ["--slots", String(server.slots)],
                    ...workTime === undefined ? [] : [
                        ...["--work-median-ms", String(workTime.medianMs)],
                        ...["--work-sigma", String(workTime.sigma)],
                    ],
                    ...this.#options.startsCold === true ? ["--cold"] : [],
                    ...this.#options.recordsHistory === true
                        ? ["--history", this.#historyPath(service, server.name)]
                        : [],
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
        const allPorts = numbers.map(i => resolvePorts(ports.slice(i * portsPerGateway)));
        await forEachConcurrently(allPorts, async (ownPorts, i) => {
            const name = `gateway-${i + 1}`;
            const availabilityZone = zones[i % zones.length]?.name ?? "";
            const others = allPorts.map(({ peers }) => peers).filter(port => port !== ownPorts.peers);
            const settings = this.#writeSettings(
                name,
                renderGatewaySettings(name, availabilityZone, ownPorts, others, this.#shared),
            );
            const process = await this.#startProcess({
                name,
                script: program.script,
                args: ["--settings", settings, ...program.args],
            });
            const operationsUrl = `http://127.0.0.1:${ownPorts.operations}`;
            this.#gateways.push({ name, availabilityZone, process, operationsUrl });
        });
    }

    async #startAdmin(port: number): Promise<void> {
        this.#progress("admin");
        const settings = this.#writeSettings("admin", renderAdminSettings(port, this.#shared));
        this.#admin = await this.#startProcess({
            name: "admin",
            script: scripts.admin,
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

    #startProcess(options: Omit<StartProcessOptions, "logPath">): Promise<StartedProcess> {
        const logName = options.name.replace("/", "-");
        return startProcess({
            ...options,
            ownProcessGroup: this.#options.ownProcessGroup,
            logPath: this.#logPath(logName),
        });
    }

    get #shared(): SharedSettings {
        return {
            platformUrl: this.platformUrl,
            fleetKey: this.fleetKey,
            enforcesColdStart: this.#options.enforcesColdStart ?? false,
        };
    }

    #writeSettings(name: string, settings: string): string {
        const path = join(this.directory, `${name}.yaml`);
        writeFileSync(path, settings, { mode: 0o600 });
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

/** Compares by numeric value, so that `gateway-10` sorts after `gateway-9`. */
function compareNames(a: string, b: string): number {
    return a.localeCompare(b, "en", { numeric: true });
}

function resolvePorts([callers = 0, peers = 0, operations = 0]: readonly number[]): GatewayPorts {
    return { callers, peers, operations };
}

/**
 * Runs with limited concurrency. Waits for all runs also after a failure, so that no process is started after
 * {@link Fleet.stop} has stopped the others.
 */
async function forEachConcurrently<T>(
    items: readonly T[],
    handle: (item: T, i: number) => Promise<void>,
): Promise<void> {
    const remaining = [...items.entries()];
    const worker = async (): Promise<void> => {
        for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
            const [i, item] = next;
            await handle(item, i);
        }
    };
    const results = await Promise.allSettled(Array.from({ length: maxConcurrentStarts }, worker));
    for (const result of results) {
        if (result.status === "rejected") {
            throw result.reason;
        }
    }
}
