import { type ColdStartHeartbeat, serverMetadataHeaders } from "@galenaglade/cold-start";
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import assert from "node:assert/strict";
import { type RequestListener } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock } from "@galenaglade/http-parts";
import { ColdStartPeers, ColdStartGate } from "../coldStart/coldStartGate.js";
import { LocalStore } from "./localStore.js";
import { describeService, FixedSource, startBackend, startGateway, type TestGateway } from "./testGateway.js";

class InProcessPeers extends ColdStartPeers {
    readonly #gates: Map<string, ColdStartGate>;
    readonly #self: string;

    constructor(self: string, gates: Map<string, ColdStartGate>) {
        super();
        this.#self = self;
        this.#gates = gates;
    }

    override roster(): { readonly version: number; readonly members: readonly string[]; } {
        return { version: 1, members: [...this.#gates.keys()] };
    }

    override exchange(heartbeat: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[] {
        const peers = [...this.#gates].filter(([name]) => name !== this.#self);
        return peers.map(([, gate]) => Promise.resolve(Right(gate.onHeartbeat(heartbeat))));
    }
}

/** A cold backend server that records its concurrency while cold, and is warm after five responses. */
class ColdBackend {
    inFlight = 0;
    maxInFlightWhileCold = 0;
    responseCount = 0;
    readonly listener: RequestListener = (_, res) => {
        this.inFlight++;
        if (this.responseCount < 5) {
            this.maxInFlightWhileCold = Math.max(this.maxInFlightWhileCold, this.inFlight);
        }
        setTimeout(() => {
            this.inFlight--;
            this.responseCount++;
            res.setHeader(serverMetadataHeaders.state, this.responseCount < 5 ? "cold" : "warm");
            res.setHeader(serverMetadataHeaders.bears, this.responseCount < 5 ? "1" : "3");
            res.end("ok");
        }, 20);
    };
}

/** Waits until the gateway is ready, which requires contact with its peers. */
async function waitUntilReady(operationsUrl: string): Promise<void> {
    while ((await fetch(`${operationsUrl}/readyz`)).status !== 200) {
        await sleep(10);
    }
}

async function startTwoGateways(t: TestContext, source: FixedSource): Promise<readonly string[]> {
    const store = new LocalStore();
    const gates = new Map<string, ColdStartGate>();
    const gateways: TestGateway[] = [];
    for (const self of ["g1/1", "g2/1"]) {
        gates.set(self, new ColdStartGate({ self, clock: systemClock, store, peers: new InProcessPeers(self, gates) }));
    }
    for (const gate of gates.values()) {
        gateways.push(await startGateway(t, source, undefined, gate));
    }
    for (const { operationsUrl } of gateways) {
        await waitUntilReady(operationsUrl);
    }
    return gateways.map(({ url }) => url);
}

// Two gateways get requests while the only backend server is cold and takes one request at a time. Uncoordinated, each
// gateway would send one. Queued requests must be offered again periodically, or they would wait for a permit forever.
test("two gateways together send a cold server one request at a time, and every caller gets its response", async t => {
    const backend = new ColdBackend();
    const port = await startBackend(t, backend.listener);
    const source = new FixedSource();
    source.apply(1, describeService([port], 30_000));
    const urls = await startTwoGateways(t, source);
    const statuses = Array.from({ length: 12 }, (_, i) => fetch(`${urls[i % 2]}/tables/x`).then(res => res.status));
    assert.deepEqual(new Set(await Promise.all(statuses)), new Set([200]));
    assert.equal(backend.maxInFlightWhileCold, 1);
});

/** Peers that are all unreachable. */
class UnreachablePeers extends ColdStartPeers {
    override roster(): { readonly version: number; readonly members: readonly string[]; } {
        return { version: 1, members: ["gateway-1/1", "gateway-2/1", "gateway-3/1"] };
    }

    override exchange(): readonly Promise<Either<Failure, ColdStartHeartbeat>>[] {
        const unreachable = Left(createFailure("peerUnreachable", "cut off"));
        return [Promise.resolve(unreachable), Promise.resolve(unreachable)];
    }
}

// A gateway without contact to its peers may not send to any backend server. Its callers, whose deadlines may be hours
// away, are refused at once with a Retry-After header, and the gateway reports that it isn't ready.
test("a gateway without peer contact refuses requests at once instead of queueing them", async t => {
    let reached = 0;
    const port = await startBackend(t, (_, res) => {
        reached++;
        res.end();
    });
    const source = new FixedSource();
    source.apply(1, describeService([port], 86_400_000));
    const deps = { self: "gateway-1/1", clock: systemClock, store: new LocalStore(), peers: new UnreachablePeers() };
    const { url, operationsUrl } = await startGateway(t, source, undefined, new ColdStartGate(deps));
    const answer = await fetch(`${url}/tables`);
    assert.deepEqual([answer.status, answer.headers.get("retry-after")], [503, "2"]);
    assert.equal(answer.headers.get("x-galenaglade-did-run"), "no");
    assert.equal((await fetch(`${operationsUrl}/readyz`)).status, 503);
    assert.equal(reached, 0);
});
