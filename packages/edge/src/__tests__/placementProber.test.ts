import { type RegisteredServer } from "@galenaglade/fleet-state";
import { systemClock } from "@galenaglade/http-parts";
import { PlacementState } from "@galenaglade/placement";
import { createRandomSource } from "@galenaglade/routing";
import { createJsonLogger, createMetrics } from "@galenaglade/telemetry";
import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { Worker } from "node:worker_threads";
import { probeServerLoad } from "../backends/probeServerLoad.js";
import { ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { ResponseMetadataRecorder } from "../requests/responseMetadataRecorder.js";
import { PlacementProber } from "../requests/placementProber.js";
import { EdgeLog } from "../telemetry/edgeLog.js";
import { EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { StartTimeline } from "../telemetry/startTimeline.js";
import { startBackend } from "./support/testEdge.js";
import { TestMetadataCodec } from "./support/testCodecs.js";

const rules = { name: "tables", healthPath: "/health", maximumConnections: 200, coldRequestsPerSecond: 4 };
const metadataCodec = new TestMetadataCodec();

function createServer(id: string, port: number): RegisteredServer {
    return {
        id,
        service: "tables",
        address: { host: "127.0.0.1", port },
        availabilityZone: "north",
        slots: 3,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    };
}

function createProber(t: TestContext): { readonly prober: PlacementProber; readonly board: PlacementState; } {
    const connections = new ServerConnectionPool();
    t.after(() => connections.close());
    const board = new PlacementState({
        name: "gateway-1",
        availabilityZone: "north",
        random: createRandomSource(1),
        probesPerServerAndSecond: 60,
        startedAtMs: 0,
    });
    const metrics = new EdgeMetrics(createMetrics("test"));
    const log = new EdgeLog(createJsonLogger({ process: "test", level: "error", write: () => undefined }), () => 0);
    const metadataRecorder = new ResponseMetadataRecorder({ placementState: board, connections, log, metrics });
    return {
        prober: new PlacementProber({
            placementState: board,
            metadataRecorder,
            connections,
            reachability: { onContact: () => undefined },
            metadataCodec,
            clock: systemClock,
            log,
            metrics,
            timeline: new StartTimeline(log),
        }),
        board,
    };
}

// One of the probed servers is slow or dead. If the prober waited for it, every request that probes it would be late.
test("a server with spare capacity ends a round of probes while another one doesn't respond", async t => {
    const good = await startBackend(t, "good");
    const silent = await startBackend(t, "silent");
    silent.load = undefined;
    const { prober } = createProber(t);
    const servers = [createServer("silent", silent.raw.port), createServer("good", good.raw.port)];
    const startedAtMs = performance.now();
    assert.equal(await prober.probe(rules, servers, 20_000), 1);
    assert.ok(performance.now() - startedAtMs < 10_000);
});

test("all probes are awaited if no server has spare capacity, and one without a response becomes suspect", async t => {
    const full = await startBackend(t, "full");
    full.load = "3,9,3,1";
    const silent = await startBackend(t, "silent");
    silent.load = undefined;
    const { prober, board } = createProber(t);
    const servers = [createServer("silent", silent.raw.port), createServer("full", full.raw.port)];
    assert.equal(await prober.probe(rules, servers, 200), 1);
    const nowMs = systemClock.monotonicMs();
    assert.ok(board.suspects.isSuspect("silent", nowMs));
    assert.ok(!board.suspects.isSuspect("full", nowMs));
});

/** Script of a server that runs in its own thread, so that it responds while the main thread is busy. */
const serverScript = `
const { createServer } = require("node:http");
const { parentPort } = require("node:worker_threads");
const server = createServer((req, res) => res.writeHead(200, { "x-server": "a", "x-load": "0,0,3,1" }).end());
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

// Right after a power cut, one turn of the event loop can take longer than a probe's timeout. The timer then fires
// before a response that has already arrived is read. If that counted as a timeout, the server would become suspect and
// its connection would be closed, so that the next request has to open a new one.
test("a probe's response that arrived in time but was read late doesn't count as a timeout", async t => {
    const worker = new Worker(serverScript, { eval: true });
    t.after(() => worker.terminate());
    const [port] = await once(worker, "message") as [number];
    const server = createServer("a", port);
    const connections = new ServerConnectionPool();
    t.after(() => connections.close());
    const probe = { server, healthPath: "/health", metadataCodec: metadataCodec, timeoutMs: 150 };
    const connection = connections.open(server.address);
    assert.equal((await probeServerLoad({ ...probe, connection })).type, "told", "the connection is open now");
    const response = probeServerLoad({ ...probe, connection });
    // Lets the probe go out, then blocks the event loop until long after the timeout.
    await new Promise(resolve => setImmediate(resolve));
    const untilMs = performance.now() + 600;
    while (performance.now() < untilMs) {
        // Blocks the event loop.
    }
    assert.equal((await response).type, "told");
});

// Guards against requests that are never answered: they wait for a round of probes, one of which has failed unexpectedly.
test("a probe that fails unexpectedly counts as unanswered", async t => {
    const good = await startBackend(t, "good");
    good.load = "3,9,3,1";
    const { prober } = createProber(t);
    const unusable = createServer("unusable", 70_000);
    assert.equal(await prober.probe(rules, [unusable, createServer("good", good.raw.port)], 2_000), 1);
    assert.equal(await prober.probe(rules, [unusable], 2_000), 0);
});
