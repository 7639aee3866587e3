import { type ColdStartWord, signHeaders } from "@galenaglade/cold-start";
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

class LocalPeers extends ColdStartPeers {
    readonly #shells: Map<string, ColdStartGate>;
    readonly #self: string;

    constructor(self: string, shells: Map<string, ColdStartGate>) {
        super();
        this.#self = self;
        this.#shells = shells;
    }

    override roster(): { readonly version: number; readonly members: readonly string[]; } {
        return { version: 1, members: [...this.#shells.keys()] };
    }

    override exchange(word: ColdStartWord): readonly Promise<Either<Failure, ColdStartWord>>[] {
        const peers = [...this.#shells].filter(([name]) => name !== this.#self);
        return peers.map(([, shell]) => Promise.resolve(Right(shell.onHeartbeat(word))));
    }
}

/** A cold backend server that records its concurrency while cold, and is warm after five responses. */
class ColdBackend {
    inFlight = 0;
    mostWhileCold = 0;
    answers = 0;
    readonly listener: RequestListener = (_, res) => {
        this.inFlight++;
        if (this.answers < 5) {
            this.mostWhileCold = Math.max(this.mostWhileCold, this.inFlight);
        }
        setTimeout(() => {
            this.inFlight--;
            this.answers++;
            res.setHeader(signHeaders.state, this.answers < 5 ? "cold" : "warm");
            res.setHeader(signHeaders.bears, this.answers < 5 ? "1" : "3");
            res.end("ok");
        }, 20);
    };
}

/** Waits until the gateway is ready, which requires contact with its peers. */
async function becomeReady(operationsUrl: string): Promise<void> {
    while ((await fetch(`${operationsUrl}/readyz`)).status !== 200) {
        await sleep(10);
    }
}

async function startTwoGateways(t: TestContext, source: FixedSource): Promise<readonly string[]> {
    const store = new LocalStore();
    const shells = new Map<string, ColdStartGate>();
    const gateways: TestGateway[] = [];
    for (const self of ["g1/1", "g2/1"]) {
        shells.set(self, new ColdStartGate({ self, clock: systemClock, store, peers: new LocalPeers(self, shells) }));
    }
    for (const gate of shells.values()) {
        gateways.push(await startGateway(t, source, undefined, gate));
    }
    for (const { operationsUrl } of gateways) {
        await becomeReady(operationsUrl);
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
    const asked = Array.from({ length: 12 }, (_, i) => fetch(`${urls[i % 2]}/tables/x`).then(res => res.status));
    assert.deepEqual(new Set(await Promise.all(asked)), new Set([200]));
    assert.equal(backend.mostWhileCold, 1);
});

/** Peers that are all unreachable. */
class LostPeers extends ColdStartPeers {
    override roster(): { readonly version: number; readonly members: readonly string[]; } {
        return { version: 1, members: ["gateway-1/1", "gateway-2/1", "gateway-3/1"] };
    }

    override exchange(): readonly Promise<Either<Failure, ColdStartWord>>[] {
        const lost = Left(createFailure("peerUnreachable", "cut off"));
        return [Promise.resolve(lost), Promise.resolve(lost)];
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
    const parts = { self: "gateway-1/1", clock: systemClock, store: new LocalStore(), peers: new LostPeers() };
    const { url, operationsUrl } = await startGateway(t, source, undefined, new ColdStartGate(parts));
    const answer = await fetch(`${url}/tables`);
    assert.deepEqual([answer.status, answer.headers.get("retry-after")], [503, "2"]);
    assert.equal(answer.headers.get("x-galenaglade-did-run"), "no");
    assert.equal((await fetch(`${operationsUrl}/readyz`)).status, 503);
    assert.equal(reached, 0);
});
