import assert from "node:assert/strict";
import { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { MemoryStore } from "./memoryStore.js";
import { RecordedServers } from "./recordedServers.js";
import {
    call,
    createConfiguration,
    type CallerResponse,
    registerServer,
    renderSignedResponse,
    startBackend,
    startEdges,
    type TestBackend,
    type TestEdge,
} from "./testEdge.js";

const workMs = 20;
/** Larger than the responses that a gateway buffers. */
const largeBytes = 400_000;

/**
 * Backend servers that request a back-off or announce that they shut down, as set by the test. Records the requests
 * that they receive and the announcements that gateways receive.
 */
export class AnnouncingServers extends RecordedServers {
    readonly #backoffSeconds = new Map<string, number>();
    readonly #leaving = new Set<string>();
    readonly #truncating = new Set<string>();
    readonly #backends = new Map<string, TestBackend>();

    async start(id: string): Promise<void> {
        const backend = await startBackend(this.t, id, req => {
            const backoff = this.#backoffSeconds.get(id);
            const headers = [`x-server: ${id}`, ...(this.#leaving.has(id) ? ["x-leaving: 1"] : [])];
            if (backoff !== undefined) {
                const requestId = req.headers.get("x-id") ?? "";
                const serverFields = { server: id, availabilityZone: "north", cold: false };
                this.record({ type: "serverTurnedAway", requestId, ...serverFields, restMs: backoff * 1_000 });
                req.socket.write(
                    renderSignedResponse(req, "", "503 Busy", [...headers, "x-not-run: 1", `x-rest: ${backoff}`]),
                );
                return;
            }
            this.recordStarted(id, req);
            if (this.#truncating.has(id)) {
                const head = renderSignedResponse(req, "", "200 OK", headers).replace(
                    "content-length: 0",
                    `content-length: ${largeBytes}`,
                );
                req.socket.write(head + "x".repeat(largeBytes - 1), () => req.socket.destroy());
                return;
            }
            setTimeout(() => req.socket.write(renderSignedResponse(req, id, "200 OK", headers)), workMs);
        });
        this.#backends.set(id, backend);
        registerServer(this.store, backend);
    }

    /** Makes a server reject all requests and request a back-off of some seconds, or serve again. */
    setBackoff(id: string, seconds: number | undefined): void {
        if (seconds === undefined) {
            this.#backoffSeconds.delete(id);
            return;
        }
        this.#backoffSeconds.set(id, seconds);
    }

    /** Makes a server announce in its responses that it shuts down, while its entry in the store stays unchanged. */
    announceLeaving(id: string): void {
        this.#leaving.add(id);
    }

    /** The same, with responses that are too large to be buffered and end prematurely. */
    announceLeavingInTruncatedResponse(id: string): void {
        this.#leaving.add(id);
        this.#truncating.add(id);
    }

    /** Restarts a server with the same id and address. */
    restart(id: string, startedAtEpochMs: number): void {
        this.#leaving.delete(id);
        this.#backoffSeconds.delete(id);
        const backend = this.#backends.get(id);
        if (backend !== undefined) {
            registerServer(this.store, backend, { startedAtEpochMs });
        }
    }

    /** Removes a server's entry from the store, as if its lease had expired. */
    expireEntry(id: string): void {
        this.store.remove(`servers/${id}`);
    }

    /** Writes a server's entry again, with the same start time. */
    rewriteEntry(id: string): void {
        const backend = this.#backends.get(id);
        if (backend !== undefined) {
            registerServer(this.store, backend);
        }
    }

    /** Sends a request through a gateway. */
    async send(edge: TestEdge, method: "GET" | "POST" = "GET"): Promise<CallerResponse> {
        const requestId = this.createRequestId();
        const gateway = edge.name;
        const idempotent = method === "GET";
        this.record({ type: "callerSent", requestId, service: "tables", idempotent, patienceMs: 8_000, gateway });
        const response = await call(edge, `/${idempotent ? "tables" : "returns"}/${requestId}`, { requestId, method });
        if (response.headers["x-leaving"] !== undefined) {
            this.record({ type: "leavingPassedOn", gateway, server: String(response.headers["x-server"]) });
        }
        return response;
    }

    /** @returns the number of requests that a server received in a period, including rejected ones */
    countRequests(id: string, fromMs: number, toMs = Infinity): number {
        return this.history.filter(line =>
            (line.type === "serverStarted" || line.type === "serverTurnedAway") && line.server === id
            && line.atMs >= fromMs && line.atMs < toMs
        ).length;
    }
}

/** Gateways with backend servers that announce their state in responses. */
export interface AnnouncingFleet {
    readonly servers: AnnouncingServers;
    readonly edges: readonly TestEdge[];
}

export async function startAnnouncingFleet(
    t: TestContext,
    gateways: number,
    ids: readonly string[],
): Promise<AnnouncingFleet> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const servers = new AnnouncingServers(t, store);
    for (const id of ids) {
        await servers.start(id);
    }
    const edges = await startEdges(t, store, gateways);
    return { servers, edges };
}

/** Sends requests to the gateways in turn for some time. @returns the status codes of the responses */
export async function sendRequestsFor(
    { servers, edges }: AnnouncingFleet,
    forMs: number,
    everyMs: number,
): Promise<readonly number[]> {
    const untilMs = performance.now() + forMs;
    const sent: Promise<number>[] = [];
    for (let i = 0; performance.now() < untilMs; i++) {
        const edge = edges[i % edges.length];
        assert.ok(edge);
        sent.push(servers.send(edge, i % 3 === 0 ? "POST" : "GET").then(({ status }) => status));
        await sleep(everyMs);
    }
    return await Promise.all(sent);
}
