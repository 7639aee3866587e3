import { type FleetConfiguration, type RegisteredServer, type Route } from "@galenaglade/fleet-state";
import { findFreePorts, type RawBackend, type RawRequest, startRawBackend } from "@galenaglade/stand-ins";
import { type KeyValueStore } from "@galenaglade/platform";
import { createJsonLogger, createMetrics } from "@galenaglade/telemetry";
import { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { createEdge, type Edge, resolveEdgeSettings, type ServerConnector } from "../../index.js";
import { MemoryStore } from "./memoryStore.js";
import { TestStateCodec, TestMetadataCodec } from "./testCodecs.js";

/** A backend server whose load reports and responses are set by the test. */
export interface TestBackend {
    readonly id: string;
    readonly raw: RawBackend;
    /** Requests received, without load probes. */
    readonly servedRequests: () => readonly RawRequest[];
    /** Load reported to load probes; `undefined` to leave them unanswered. */
    load: string | undefined;
    coldMs: number;
    /** Delay of responses to load probes, in milliseconds. */
    loadResponseDelayMs: number;
}

/** An edge process that runs within the test's process, with its store. */
export interface TestEdge<Store extends KeyValueStore = KeyValueStore> {
    readonly name: string;
    readonly store: Store;
    readonly edge: Edge;
    readonly peersPort: number;
    readonly url: string;
    readonly readinessUrl: string;
    readonly metricsUrl: string;
    readonly peersUrl: string;
    readonly logs: readonly Readonly<Record<string, unknown>>[];
    /** Stops the edge process; further calls have no effect. */
    readonly stop: () => Promise<void>;
}

/** @returns a complete, signed response to a request */
export function renderSignedResponse(
    req: RawRequest,
    body: string,
    status = "200 OK",
    extraHeaders: readonly string[] = [],
): string {
    const lines = [
        `HTTP/1.1 ${status}`,
        `content-length: ${body.length}`,
        `x-id: ${req.headers.get("x-id") ?? ""}`,
        "x-signed: 1",
        ...extraHeaders,
    ];
    return [...lines, "", body].join("\r\n");
}

export async function startBackend(
    t: TestContext,
    id: string,
    serve: (req: RawRequest) => void = req => req.socket.write(renderSignedResponse(req, `from ${id}`)),
): Promise<TestBackend> {
    const servedRequests: RawRequest[] = [];
    const raw = await startRawBackend(t, req => {
        if (req.path !== "/health") {
            servedRequests.push(req);
            serve(req);
            return;
        }
        if (backend.load !== undefined) {
            const head = ["HTTP/1.1 200 OK", "content-length: 0", `x-server: ${id}`, `x-load: ${backend.load}`];
            const response = [...head, `x-cold-ms: ${backend.coldMs}`, "", ""].join("\r\n");
            setTimeout(() => req.socket.write(response), backend.loadResponseDelayMs);
        }
    });
    const backend: TestBackend = {
        id,
        raw,
        servedRequests: () => servedRequests,
        load: "0,0,3,1",
        coldMs: 0,
        loadResponseDelayMs: 0,
    };
    return backend;
}

export const tables: Route = {
    name: "tables",
    authority: "survey.example",
    pathPrefix: "/tables/",
    idempotent: true,
    maximumRuns: 2,
    timeoutMs: 1_500,
    objectiveMs: 800,
    priority: 1,
    destinations: [{ service: "tables", weight: 1 }],
};

export const returns: Route = { ...tables, name: "returns", pathPrefix: "/returns/", idempotent: false };

export function createConfiguration(version: number, routes: readonly Route[] = [tables, returns]): FleetConfiguration {
    return {
        version,
        routes,
        services: [{ name: "tables", healthPath: "/health", maximumConnections: 200, coldRequestsPerSecond: 4 }],
        limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Writes a backend server's entry to the store. */
export function registerServer(
    store: MemoryStore,
    { id, raw }: { readonly id: string; readonly raw: { readonly port: number; }; },
    overrides: Partial<RegisteredServer> = {},
): void {
    store.put(
        `servers/${id}`,
        {
            id,
            service: "tables",
            address: { host: "127.0.0.1", port: raw.port },
            availabilityZone: "north",
            slots: 3,
            state: "ready",
            coldRemainingMs: 0,
            startedAtEpochMs: 1,
            ...overrides,
        } satisfies RegisteredServer,
    );
}

export async function startEdge<Store extends KeyValueStore>(
    t: TestContext,
    store: Store,
    options: {
        readonly graceSeconds?: number;
        readonly name?: string;
        readonly probesPerSecond?: number;
        readonly peersPort?: number;
        readonly exposureShare?: number;
        readonly firstTrialSeconds?: number;
        readonly connector?: ServerConnector;
    } = {},
): Promise<TestEdge<Store>> {
    const [callers, readiness, free = 0, metrics] = await findFreePorts(4);
    const peers = options.peersPort ?? free;
    const settings = resolveEdgeSettings(JSON.stringify({
        name: options.name ?? "edge-1",
        availabilityZone: "north",
        listen: {
            callers: `127.0.0.1:${callers}`,
            readiness: `127.0.0.1:${readiness}`,
            peers: `127.0.0.1:${peers}`,
            metrics: `127.0.0.1:${metrics}`,
        },
        store: { address: "127.0.0.1:1" },
        stopping: { graceSeconds: options.graceSeconds ?? 3 },
        asking: { perServerAndSecond: options.probesPerSecond ?? 30 },
        repeats: { ratio: 0.2, slack: 100, windowSeconds: 0.01 },
        quarantine: { firstTrialSeconds: options.firstTrialSeconds ?? 120 },
        rollouts: options.exposureShare === undefined ? {} : { exposureShare: options.exposureShare },
    })).unsafeCoerce();
    const logs: Record<string, unknown>[] = [];
    const edge = createEdge({
        settings,
        store,
        codec: new TestStateCodec(),
        metadataCodec: new TestMetadataCodec(),
        logger: createJsonLogger({
            process: settings.name,
            level: "info",
            write: line => logs.push(JSON.parse(line) as Record<string, unknown>),
        }),
        metrics: createMetrics("test"),
        seed: 1,
        ...(options.connector === undefined ? {} : { connector: options.connector }),
    });
    await edge.start();
    let stopped: Promise<void> | undefined;
    const stop = (): Promise<void> => {
        stopped ??= edge.stop();
        return stopped;
    };
    t.after(stop);
    return {
        name: settings.name,
        store,
        edge,
        peersPort: peers,
        url: `http://127.0.0.1:${callers}`,
        readinessUrl: `http://127.0.0.1:${readiness}/ready`,
        peersUrl: `http://127.0.0.1:${peers}`,
        metricsUrl: `http://127.0.0.1:${metrics}/metrics`,
        logs,
        stop,
    };
}

/** Waits until a condition holds; throws after ten seconds. */
export async function eventually(condition: () => boolean | Promise<boolean>, description: string): Promise<void> {
    for (let i = 0; i < 500; i++) {
        if (await condition()) {
            return;
        }
        await sleep(20);
    }
    throw new Error(`timed out waiting until ${description}`);
}

/** Waits until the edge process reports that it is ready. */
export async function waitUntilReady({ readinessUrl }: TestEdge): Promise<void> {
    await eventually(async () => {
        const res = await request(readinessUrl);
        await res.body.dump();
        return res.statusCode === 200;
    }, "the process is ready");
}

/** Starts an edge process in front of these backend servers, and waits until it is ready. */
export async function startEdgeWith(
    t: TestContext,
    ...backends: readonly TestBackend[]
): Promise<TestEdge<MemoryStore>> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    for (const backend of backends) {
        registerServer(store, backend);
    }
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    return edge;
}

/** Starts gateways with a common store, and waits until each is ready and has discovered all others. */
export async function startEdges(
    t: TestContext,
    store: MemoryStore,
    count: number,
    connectors: readonly ServerConnector[] = [],
): Promise<readonly TestEdge[]> {
    const edges: TestEdge[] = [];
    for (let i = 0; i < count; i++) {
        const connector = connectors[i];
        edges.push(
            await startEdge(t, store, {
                name: `edge-${i}`,
                ...(connector === undefined ? {} : { connector: connector }),
            }),
        );
    }
    await Promise.all(edges.map(waitUntilReady));
    await eventually(
        () => edges.every(({ logs }) => logs.filter(line => line["subject"] === "gateway").length >= count),
        "the gateways have discovered each other",
    );
    return edges;
}

/** The response that a caller received. */
export interface CallerResponse {
    readonly status: number;
    readonly body: string;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

let requestCount = 0;

/** Sends a request as a caller. */
export async function call(
    { url }: TestEdge,
    path: string,
    options: {
        readonly method?: "GET" | "POST";
        readonly body?: string;
        readonly signal?: AbortSignal;
        readonly requestId?: string;
    } = {},
): Promise<CallerResponse> {
    const res = await request(url + path, {
        method: options.method ?? "GET",
        headers: {
            "host": "survey.example",
            "x-id": options.requestId ?? `r${++requestCount}`,
            "x-patience-ms": "8000",
        },
        body: options.body ?? null,
        ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    return { status: res.statusCode, body: await res.body.text(), headers: res.headers };
}
