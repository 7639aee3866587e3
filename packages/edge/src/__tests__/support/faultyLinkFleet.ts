import { type RawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultyLinks, type LinkFault } from "./faultyLinks.js";
import { MemoryStore } from "./memoryStore.js";
import { RecordedServers } from "./recordedServers.js";
import {
    call,
    createConfiguration,
    type CallerResponse,
    eventually,
    registerServer,
    renderSignedResponse,
    startBackend,
    startEdges,
    type TestBackend,
    type TestEdge,
} from "./testEdge.js";

const workMs = 30;

/** Fleet of gateways whose links to all backend servers a test can fail; records callers' requests and responses. */
export class FaultyLinkFleet extends RecordedServers {
    readonly backends: TestBackend[] = [];
    /** Handles a request on a server; by default, responds after {@link workMs}. */
    serve: (req: RawRequest, server: string) => void = (req, server) => {
        setTimeout(
            () => req.socket.write(renderSignedResponse(req, server, "200 OK", [`x-server: ${server}`])),
            workMs,
        );
    };
    #edges: readonly TestEdge[] = [];
    #links: readonly FaultyLinks[] = [];

    get edges(): readonly TestEdge[] {
        return this.#edges;
    }

    /** @returns the fleet, once its gateways have discovered each other */
    static async start(t: TestContext, gateways: number, servers = 4): Promise<FaultyLinkFleet> {
        const store = new MemoryStore();
        store.put("configuration", createConfiguration(1));
        const fleet = new FaultyLinkFleet(t, store);
        for (let i = 0; i < servers; i++) {
            await fleet.#startServer(`server-${i}`);
        }
        fleet.#links = Array.from({ length: gateways }, () => new FaultyLinks());
        fleet.#edges = await startEdges(t, store, gateways, fleet.#links);
        return fleet;
    }

    linksOf(gateway: number): FaultyLinks {
        const links = this.#links[gateway];
        assert.ok(links);
        return links;
    }

    edgeOf(gateway: number): TestEdge {
        const edge = this.#edges[gateway];
        assert.ok(edge);
        return edge;
    }

    cut(gateway: number, fault: LinkFault): void {
        this.record({ type: "gatewayCutFromServers", gateway: this.edgeOf(gateway).name });
        this.linksOf(gateway).cut(fault);
    }

    /** Cuts a gateway's links to all servers, and sends requests until it has detected that they are lost. */
    async cutUntilLost(gateway: number, fault: LinkFault): Promise<void> {
        this.cut(gateway, fault);
        await eventually(async () => {
            await this.send(gateway);
            return this.edgeOf(gateway).logs.some(line => line["to"] === "lost");
        }, "the gateway detects that its links are lost");
    }

    restore(gateway: number): void {
        this.record({ type: "gatewayLinksRestored", gateway: this.edgeOf(gateway).name });
        this.linksOf(gateway).restore();
    }

    /** Sends a request through a gateway. */
    async send(gateway: number, method: "GET" | "POST" = "GET", signal?: AbortSignal): Promise<CallerResponse> {
        const requestId = this.createRequestId();
        const edge = this.edgeOf(gateway);
        const idempotent = method === "GET";
        const common = { gateway: edge.name, patienceMs: 8_000 };
        this.record({ type: "callerSent", requestId, service: "tables", idempotent, ...common });
        const path = `/${idempotent ? "tables" : "returns"}/${requestId}`;
        const got = await call(edge, path, {
            requestId,
            method,
            ...(idempotent ? {} : { body: `filed ${requestId}` }),
            ...(signal === undefined ? {} : { signal }),
        });
        this.record({
            type: "callerAnswered",
            requestId,
            status: got.status,
            didRun: undefined,
            whole: got.headers["x-signed"] !== undefined,
            bodyRequestId: got.headers["x-id"] === undefined ? undefined : String(got.headers["x-id"]),
        });
        return got;
    }

    /** Sends requests for a while, to each gateway in turn. @returns the responses */
    async sendFor(forMs: number, everyMs: number): Promise<readonly CallerResponse[]> {
        const endMs = performance.now() + forMs;
        const sent: Promise<CallerResponse>[] = [];
        for (let i = 0; performance.now() < endMs; i++) {
            sent.push(this.send(i % this.#edges.length, i % 4 === 0 ? "POST" : "GET"));
            await sleep(everyMs);
        }
        return await Promise.all(sent);
    }

    async #startServer(id: string): Promise<void> {
        const backend = await startBackend(this.t, id, req => {
            this.recordStarted(id, req);
            this.serve(req, id);
        });
        this.backends.push(backend);
        registerServer(this.store, backend);
    }
}
