import { renderGatewayRegistration, type Route } from "@galenaglade/fleet-state";
import { type ServerState } from "@galenaglade/soak";
import { findFreePorts } from "@galenaglade/stand-ins";
import { writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import { PlatformServerCodec, PlatformSystem } from "../../platform/src/standIns/platformSystem.js";
import { StoreServer } from "../../platform/src/standIns/storeServer.js";

/** Sizes of a fake fleet. */
export interface FleetSize {
    /** Number of gateways that run and thus need ports. */
    readonly running: number;
    /** Number of gateways that are registered in the store. */
    readonly registered: number;
    /** Number of backend servers. */
    readonly servers: number;
}

/** The result of a request for its caller. */
export interface CallResult {
    /** `undefined` if no response arrived in time. */
    readonly status: number | undefined;
    readonly latencyMs: number;
}

const zones = ["north", "middle", "south"] as const;
const service = "tables";
const authority = "fleet.example";
const slots = 2;
const workMs = 120;
/** Latency objective of the gateways' routes, in milliseconds. */
export const objectiveMs = 450;
const patienceMs = 3_000;
const retryMs = 25;
const portsPerGateway = 4;
const system = new PlatformSystem();
const names = new PlatformServerCodec();

/** Runs a fake store and fake backend servers in this process, and sends requests to gateways that use them. */
export class StandInFleet {
    readonly #listening: Server[] = [];
    #storePort = 0;
    #ports: readonly number[] = [];

    /** Starts the fakes and fills the store. */
    static async start(size: FleetSize): Promise<StandInFleet> {
        const fleet = new StandInFleet();
        fleet.#storePort = await fleet.#listen(new StoreServer().createServer());
        fleet.#ports = await findFreePorts(portsPerGateway * size.running);
        const servers = await Promise.all(
            Array.from({ length: size.servers }, (_, i) => fleet.#listen(createBackend(`server-${i}`))),
        );
        await fleet.#fillStore(size, servers);
        return fleet;
    }

    /**
     * Writes the settings file of a gateway.
     *
     * @param i - index of the gateway
     * @param dir - directory of the file
     * @returns the path of the file
     */
    writeSettings(i: number, dir: string): string {
        const [callers, readiness, peers, metrics] = this.#portsOf(i).map(port => `127.0.0.1:${port}`);
        const path = join(dir, `${i}.yaml`);
        const settings = {
            name: `gateway-${i}`,
            availabilityZone: zoneOf(i),
            listen: { callers, readiness, peers, metrics },
            store: { address: `127.0.0.1:${this.#storePort}`, shortestLeaseSeconds: 5 },
            stopping: { graceSeconds: 1 },
            repeats: { ratio: 0.2, slack: 200, windowSeconds: 10 },
            asking: { perServerAndSecond: 50 },
        };
        writeFileSync(path, stringify(settings));
        return path;
    }

    /**
     * Sends a request to a gateway. Retries until the gateway listens, for as long as the caller's patience lasts.
     *
     * @param i - index of the gateway
     * @param requestId - ID of the request
     * @param hasBody - whether the request has a body, and isn't idempotent
     * @returns the result of the request
     */
    async call(i: number, requestId: string, hasBody: boolean): Promise<CallResult> {
        const [port = 0] = this.#portsOf(i);
        const beganAtMs = performance.now();
        for (;;) {
            const tookMs = performance.now() - beganAtMs;
            if (tookMs > patienceMs) {
                return { status: undefined, latencyMs: tookMs };
            }
            try {
                const res = await request(`http://127.0.0.1:${port}${hasBody ? "/returns/" : "/tables/"}${requestId}`, {
                    method: hasBody ? "POST" : "GET",
                    headers: { host: authority, ...system.renderRequestHeaders(requestId, patienceMs) },
                    body: hasBody ? requestId : null,
                    signal: AbortSignal.timeout(patienceMs),
                });
                await res.body.dump();
                return { status: res.statusCode, latencyMs: performance.now() - beganAtMs };
            }
            catch {
                // The gateway isn't listening yet.
                await sleep(retryMs);
            }
        }
    }

    close(): void {
        for (const server of this.#listening) {
            server.close();
            server.closeAllConnections();
        }
    }

    async #fillStore({ registered, running }: FleetSize, servers: readonly number[]): Promise<void> {
        const configuration = system.renderConfiguration({
            version: 1,
            routes: [createRoute("read", "/tables/", true), createRoute("file", "/returns/", false)],
            services: [
                { name: service, healthPath: names.healthPath, maximumConnections: 200, coldRequestsPerSecond: 4 },
            ],
            limits: {
                maximumHeaderBytes: 16_384,
                maximumBodyBytes: 1_048_576,
                headerTimeoutMs: 3_000,
                idleTimeoutMs: 15_000,
            },
        });
        const entries = servers.map((port, i) =>
            system.renderServer({
                id: `server-${i}`,
                service,
                address: { host: "127.0.0.1", port },
                availabilityZone: zoneOf(i),
                slots,
                state: "ready",
                coldRemainingMs: 0,
                startedAtEpochMs: 1,
            })
        );
        // Gateways that don't run count as registered, but no gateway queries them for changes: they have no address.
        const registrations = Array.from({ length: registered }, (_, i) => ({
            key: `galenaglade/gateways/gateway-${i}`,
            value: i < running ? this.#renderRegistration(i) : "not running",
        }));
        const res = await request(`http://127.0.0.1:${this.#storePort}/control`, {
            method: "POST",
            body: JSON.stringify({ puts: [configuration, ...entries, ...registrations] }),
        });
        await res.body.dump();
    }

    #renderRegistration(i: number): string {
        const [, , port = 0] = this.#portsOf(i);
        return renderGatewayRegistration({ availabilityZone: zoneOf(i), peerAddress: { host: "127.0.0.1", port } });
    }

    #portsOf(i: number): readonly number[] {
        return this.#ports.slice(portsPerGateway * i, portsPerGateway * (i + 1));
    }

    #listen(server: Server): Promise<number> {
        this.#listening.push(server);
        return new Promise(resolve => {
            server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
        });
    }
}

function createRoute(name: string, pathPrefix: string, idempotent: boolean): Route {
    return {
        name,
        authority,
        pathPrefix,
        idempotent,
        maximumRuns: 2,
        timeoutMs: patienceMs,
        objectiveMs,
        priority: 1,
        destinations: [{ service, weight: 1 }],
    };
}

function createBackend(id: string): Server {
    let running = 0;
    const renderState = (): Readonly<Record<string, string>> => {
        const state: ServerState = { id, running, waiting: 0, slots, slowdown: 1, coldRemainingMs: 0 };
        return names.renderState(state);
    };
    return createServer((req, res) => {
        if (req.url === names.healthPath) {
            res.writeHead(200, renderState()).end();
            return;
        }
        const { requestId } = names.parseRequestHeaders(req.headers);
        req.resume();
        running++;
        setTimeout(() => {
            running--;
            res.writeHead(200, { ...renderState(), ...names.renderDidRun(requestId, true) }).end("done");
        }, workMs);
    });
}

function zoneOf(i: number): string {
    return zones[i % zones.length] ?? zones[0];
}
