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

function getFailureKind(answer: Either<Failure, unknown>): string {
    return answer.caseOf({ Left: failure => failure.kind, Right: () => "no failure" });
}

function write(store: HttpKeyValueStore, key: string, value: string, expectedRevision = 0) {
    return store.compareAndSwap({ key, value, expectedRevision });
}

test("a compare-and-swap takes effect once, and the losing call gets the current value", async () => {
    const { url } = await startPlatform();
    const store = createStore(url);
    assert.deepEqual((await write(store, "a", "1")).extract(), { swapped: true, revision: 1 });
    const conflict = (await write(store, "a", "2")).unsafeCoerce();
    assert.equal(conflict.swapped ? "swapped" : conflict.current?.value, "1");
    assert.equal((await store.get("none")).unsafeCoerce(), undefined);
    assert.equal((await store.list("a")).unsafeCoerce().entries.length, 1);
});

test("a watch waits for a change, and reports a key deleted with its expired lease", async () => {
    let nowMs = 0;
    const { url } = await startPlatform({ now: () => nowMs });
    const store = createStore(url);
    const lease = (await store.grantLease(1_000)).unsafeCoerce();
    const waiting = store.watch({ prefix: "seat/", afterRevision: 0, waitMs: 30_000 });
    await store.compareAndSwap({ key: "seat/1", value: "x", expectedRevision: 0, leaseId: lease.id });
    const events = (await waiting).unsafeCoerce();
    assert.deepEqual(events.changed.map(entry => entry.key), ["seat/1"]);

    const expiryWatch = store.watch({ prefix: "seat/", afterRevision: events.revision, waitMs: 30_000 });
    nowMs = 1_001;
    assert.deepEqual((await expiryWatch).unsafeCoerce().deleted, ["seat/1"]);
    assert.equal(getFailureKind(await store.renewLease(lease.id)), "notFound");
});

test("a watch can be cancelled", async () => {
    const { url } = await startPlatform();
    const controller = new AbortController();
    const waiting = createStore(url).watch({ prefix: "", afterRevision: 0, waitMs: 30_000, signal: controller.signal });
    controller.abort();
    assert.equal(getFailureKind(await waiting), "storeUnavailable");
});

test("a lost response leaves the outcome of a write unknown", async () => {
    // An operator's change is written, but the store's response is lost. The write has taken effect, so a client that
    // treats the failure as "not written" would write it twice.
    const platform = await startPlatform();
    const store = createStore(platform.url);
    platform.setFaults({ loseAnswers: 1 });
    assert.equal(getFailureKind(await write(store, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "1");
});

test("a call rejected by a store that is down had no effect", async () => {
    // The store is down: it first responds with an error, then nothing listens on its port. In both cases the write
    // didn't happen, and the client may report that to its own caller.
    const platform = await startPlatform();
    const store = createStore(platform.url);
    platform.setFaults({ down: "refusing" });
    assert.equal(getFailureKind(await write(store, "a", "1")), "storeUnavailable");
    assert.equal(platform.engine.revision, 0);
    await platform.stop();
    assert.equal(getFailureKind(await write(createStore(platform.url), "a", "1")), "storeUnavailable");
});

test("an address that refuses connections is skipped", async () => {
    const stopped = await startPlatform();
    const platform = await startPlatform();
    await stopped.stop();
    const connection = new PlatformClient({ addresses: [stopped.url, platform.url], client: "gateway-1" });
    stops.push(() => connection.close());
    assert.equal(getFailureKind(await write(new HttpKeyValueStore(connection), "a", "1")), "no failure");
    assert.equal(platform.engine.revision, 1);
});

test("a call to an unresponsive store times out, and the next call uses a new connection", async () => {
    // The connection to the store becomes unresponsive while new ones work. The pending call times out: the outcome of
    // a write is unknown, while a read has no effect in any case.
    const platform = await startPlatform();
    const store = createStore(platform.url, { timeoutMs: 500 });
    platform.setFaults({ down: "silent" });
    assert.equal(getFailureKind(await write(store, "a", "1")), "storeOutcomeUnknown");
    assert.equal(getFailureKind(await store.get("a")), "storeUnavailable");
    platform.setFaults({});
    const newStore = createStore(platform.url);
    assert.equal(getFailureKind(await write(newStore, "a", "1")), "no failure");
});

test("a network partition affects one client in one direction", async () => {
    // Gateway 1 is partitioned from the store in one direction. If its calls don't arrive, nothing is written; if the
    // responses don't arrive, everything is. Gateway 2 is unaffected.
    const platform = await startPlatform();
    const partitioned = createStore(platform.url, { client: "gateway-1", timeoutMs: 500 });
    const connected = createStore(platform.url, { client: "gateway-2" });
    platform.setFaults({ cuts: [{ client: "gateway-1", direction: "toStore" }] });
    assert.equal(getFailureKind(await write(partitioned, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await connected.get("a")).unsafeCoerce(), undefined);
    platform.setFaults({ cuts: [{ client: "gateway-1", direction: "fromStore" }] });
    assert.equal(getFailureKind(await write(partitioned, "a", "1")), "storeOutcomeUnknown");
    assert.equal((await connected.get("a")).unsafeCoerce()?.value, "1");
});

test("stale reads return old values until the fault is removed", async () => {
    const platform = await startPlatform();
    const store = createStore(platform.url);
    await write(store, "a", "old");
    platform.setFaults({ staleReads: true });
    await write(store, "a", "new", 1);
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "old");
    platform.setFaults({});
    assert.equal((await store.get("a")).unsafeCoerce()?.value, "new");
});

test("calls over the rate limit are rejected without effect, and a watch counts as one read", async () => {
    let nowMs = 0;
    const platform = await startPlatform({ now: () => nowMs, limits: { writesPerSecond: 2, readsPerSecond: 2 } });
    const store = createStore(platform.url);
    assert.equal(getFailureKind(await write(store, "a", "1")), "no failure");
    assert.equal(getFailureKind(await write(store, "b", "1")), "no failure");
    assert.equal(getFailureKind(await write(store, "c", "1")), "storeRateLimited");
    assert.equal(platform.engine.revision, 2);
    assert.equal(getFailureKind(await store.watch({ prefix: "", afterRevision: 0, waitMs: 0 })), "no failure");
    assert.equal(getFailureKind(await store.get("a")), "no failure");
    assert.equal(getFailureKind(await store.get("a")), "storeRateLimited");
    nowMs += 1_000;
    assert.equal(getFailureKind(await write(store, "c", "1")), "no failure");
    assert.deepEqual(platform.counters().total, { reads: 3, writes: 4, watches: 1, rateLimited: 2 });
});

test("changes of the host list become visible after a delay", async () => {
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
