import { type Failure } from "@galenaglade/errors";
import { HttpHostList, HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { type Either } from "purify-ts";
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { PlatformServer, type PlatformServerOptions } from "../platform/platformServer.js";

const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const stop of stops.splice(0).reverse()) {
        await stop();
    }
});

async function startPlatform(options: PlatformServerOptions = {}): Promise<PlatformServer> {
    const platform = await PlatformServer.start(options);
    stops.push(() => platform.stop());
    return platform;
}

function connect(address: string, more: { client?: string; timeoutMs?: number; } = {}): PlatformClient {
    const { client = "gateway-1", timeoutMs } = more;
    const connection = new PlatformClient({ addresses: [address], client, timeoutMs });
    stops.push(() => connection.close());
    return connection;
}

function createStore(address: string, more: { client?: string; timeoutMs?: number; } = {}): HttpKeyValueStore {
    return new HttpKeyValueStore(connect(address, more));
}

function kindOf(answer: Either<Failure, unknown>): string {
    return answer.caseOf({ Left: failure => failure.kind, Right: () => "no failure" });
}

function write(store: HttpKeyValueStore, key: string, value: string, expectedRevision = 0) {
    return store.compareAndSwap({ key, value, expectedRevision });
}

test("a swap takes effect once, and its loser sees the present value", async () => {
    const { url } = await startPlatform();
    const store = createStore(url);
    assert.deepEqual((await write(store, "a", "1")).extract(), { swapped: true, revision: 1 });
    const lost = (await write(store, "a", "2")).unsafeCoerce();
    assert.equal(lost.swapped ? "swapped" : lost.current?.value, "1");
    assert.equal((await store.get("none")).unsafeCoerce(), undefined);
    assert.equal((await store.list("a")).unsafeCoerce().entries.length, 1);
});

test("a watch waits for a change, and sees a key fall with its lease", async () => {
    let nowMs = 0;
    const { url } = await startPlatform({ now: () => nowMs });
    const store = createStore(url);
    const lease = (await store.grantLease(1_000)).unsafeCoerce();
    const waiting = store.watch({ prefix: "seat/", afterRevision: 0, waitMs: 30_000 });
    await store.compareAndSwap({ key: "seat/1", value: "x", expectedRevision: 0, leaseId: lease.id });
    const seen = (await waiting).unsafeCoerce();
    assert.deepEqual(seen.changed.map(entry => entry.key), ["seat/1"]);

    const fall = store.watch({ prefix: "seat/", afterRevision: seen.revision, waitMs: 30_000 });
    nowMs = 1_001;
    assert.deepEqual((await fall).unsafeCoerce().deleted, ["seat/1"]);
    assert.equal(kindOf(await store.renewLease(lease.id)), "notFound");
});

test("a watch can be given up", async () => {
    const { url } = await startPlatform();
    const control = new AbortController();
    const waiting = createStore(url).watch({ prefix: "", afterRevision: 0, waitMs: 30_000, signal: control.signal });
    control.abort();
    assert.equal(kindOf(await waiting), "storeUnavailable");
});

test("a lost answer leaves the outcome of a write unknown", async () => {
    // An operator's change is written, and the store's answer is lost on the way back.
    // The write has taken effect, so a client that takes the failure for "nothing happened" would write it twice.
    const platform = await startPlatform();
    const store = createStore(platform.url);
    platform.setFaults({ loseAnswers: 1 });
    assert.equal(kindOf(await write(store, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "1");
});

test("a refused call certainly had no effect", async () => {
    // The store is down: first it refuses, then nothing listens any more.
    // Either way the write never happened, and the client may say so to its own caller.
    const platform = await startPlatform();
    const store = createStore(platform.url);
    platform.setFaults({ down: "refusing" });
    assert.equal(kindOf(await write(store, "a", "1")), "storeUnavailable");
    assert.equal(platform.engine.revision, 0);
    await platform.stop();
    assert.equal(kindOf(await write(createStore(platform.url), "a", "1")), "storeUnavailable");
});

test("an address to which no connection opens is passed over", async () => {
    const gone = await startPlatform();
    const platform = await startPlatform();
    await gone.stop();
    const connection = new PlatformClient({ addresses: [gone.url, platform.url], client: "gateway-1" });
    stops.push(() => connection.close());
    assert.equal(kindOf(await write(new HttpKeyValueStore(connection), "a", "1")), "no failure");
    assert.equal(platform.engine.revision, 1);
});

test("a silent store is given up on, and the next call takes a new connection", async () => {
    // The connection to the store goes silent for good, and new ones work.
    // The call that waits on it times out: for a write nothing is known, a read had no effect in any case.
    const platform = await startPlatform();
    const store = createStore(platform.url, { timeoutMs: 500 });
    platform.setFaults({ down: "silent" });
    assert.equal(kindOf(await write(store, "a", "1")), "storeOutcomeUnknown");
    assert.equal(kindOf(await store.get("a")), "storeUnavailable");
    platform.setFaults({});
    const patient = createStore(platform.url);
    assert.equal(kindOf(await write(patient, "a", "1")), "no failure");
});

test("a cut falls on one client and in one direction", async () => {
    // Gateway 1 is cut off from the store one way. Where its calls don't arrive nothing is written; where the answers
    // don't come back everything is. Gateway 2 notices nothing.
    const platform = await startPlatform();
    const cut = createStore(platform.url, { client: "gateway-1", timeoutMs: 500 });
    const well = createStore(platform.url, { client: "gateway-2" });
    platform.setFaults({ cuts: [{ client: "gateway-1", direction: "toStore" }] });
    assert.equal(kindOf(await write(cut, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await well.get("a")).unsafeCoerce(), undefined);
    platform.setFaults({ cuts: [{ client: "gateway-1", direction: "fromStore" }] });
    assert.equal(kindOf(await write(cut, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await well.get("a")).unsafeCoerce()?.value, "1");
});

test("stale reads show the past until they are switched off", async () => {
    const platform = await startPlatform();
    const store = createStore(platform.url);
    await write(store, "a", "old");
    platform.setFaults({ staleReads: true });
    await write(store, "a", "new", 1);
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "old");
    platform.setFaults({});
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "new");
});

test("calls over the rate are refused without effect, and a watch counts as one read", async () => {
    let nowMs = 0;
    const platform = await startPlatform({ now: () => nowMs, limits: { writesPerSecond: 2, readsPerSecond: 2 } });
    const store = createStore(platform.url);
    assert.equal(kindOf(await write(store, "a", "1")), "no failure");
    assert.equal(kindOf(await write(store, "b", "1")), "no failure");
    assert.equal(kindOf(await write(store, "c", "1")), "storeRateLimited");
    assert.equal(platform.engine.revision, 2);
    assert.equal(kindOf(await store.watch({ prefix: "", afterRevision: 0, waitMs: 0 })), "no failure");
    assert.equal(kindOf(await store.get("a")), "no failure");
    assert.equal(kindOf(await store.get("a")), "storeRateLimited");
    nowMs += 1_000;
    assert.equal(kindOf(await write(store, "c", "1")), "no failure");
    assert.deepEqual(platform.counters().total, { reads: 3, writes: 4, watches: 1, rateLimited: 2 });
});

test("the host list lags", async () => {
    let nowMs = 0;
    const host = { name: "host-1", address: "10.0.0.1", availabilityZone: "a", state: "live" } as const;
    const platform = await startPlatform({ now: () => nowMs, hostListLagMs: 2_000, hosts: [host] });
    const hosts = new HttpHostList(connect(platform.url));
    nowMs = 1_000;
    platform.setHosts([{ ...host, state: "leaving" }]);
    nowMs = 2_999;
    assert.deepEqual((await hosts.list()).unsafeCoerce(), [host]);
    nowMs = 3_000;
    assert.equal((await hosts.list()).unsafeCoerce()[0]?.state, "leaving");
});
