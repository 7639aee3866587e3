import { defaultFleetTimings, storeKeys } from "@galenaglade/membership";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { createServerId } from "@galenaglade/routing";
import { PlatformServer } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type TestContext, test } from "node:test";
import { createFleetMembership, createFleetObserver, type ServerObservation } from "../index.js";

const fleetKey = "secret";
const observation: ServerObservation = {
    serverId: "tables/t1",
    state: "warm",
    ownInFlight: 2,
    reportedInFlight: 5,
    reportedAgeMs: 40,
};

interface Fleet {
    readonly platform: PlatformServer;
    readonly store: HttpKeyValueStore;
    observe(key?: string, service?: string): ReturnType<ReturnType<typeof createFleetObserver>["observe"]>;
    register(name: string, peerAddress: string): Promise<void>;
    startMember(name: string, servers: readonly ServerObservation[]): Promise<readonly (string | undefined)[]>;
}

async function startFleet(t: TestContext): Promise<Fleet> {
    const platform = await PlatformServer.start();
    t.after(() => platform.stop());
    const connection = new PlatformClient({ addresses: [platform.url], client: "test" });
    t.after(() => connection.close());
    const store = new HttpKeyValueStore(connection);
    const timings = { ...defaultFleetTimings, callTimeoutMs: 3_000 };
    return {
        platform,
        store,
        observe: (key = fleetKey, service) => createFleetObserver({ store, fleetKey: key, timings }).observe(service),
        register: async (name, peerAddress) => {
            const identity = { name, incarnation: "1", availabilityZone: "a", peerAddress };
            const key = `${storeKeys.memberPrefix}${name}`;
            await store.compareAndSwap({ key, expectedRevision: 0, value: JSON.stringify(identity) });
        },
        startMember: async (name, servers) => {
            const calls: (string | undefined)[] = [];
            const listen = { host: "127.0.0.1", port: 0 };
            const member = createFleetMembership({ store, name, availabilityZone: "a", listen, seeds: [], fleetKey });
            member.setObservationHandler(service => {
                calls.push(service);
                return servers;
            });
            assert.ok((await member.start()).isRight());
            t.after(() => member.stop());
            await untilRegistered(store, name);
            return calls;
        },
    };
}

/** Waits until a gateway is registered, limited by the timeout of the test runner only. */
async function untilRegistered(store: HttpKeyValueStore, name: string): Promise<void> {
    const isRegistered = async () => {
        const { entries } = (await store.list(storeKeys.memberPrefix)).unsafeCoerce();
        return entries.some(({ key }) => key.endsWith(`/${name}`));
    };
    while (!await isRegistered()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** Opens a peer port with a response that the test chooses. */
async function openPort(t: TestContext, respond: (res: ServerResponse) => void): Promise<string> {
    const server = createServer((req, res) => {
        req.resume();
        res.on("error", () => undefined);
        respond(res);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.closeAllConnections();
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function sendData(res: ServerResponse, data: unknown): void {
    res.end(JSON.stringify({ result: { data } }));
}

test("the observations of all gateways are returned, for one service or for all", async t => {
    const fleet = await startFleet(t);
    const calls = await fleet.startMember("gw1", [observation]);
    const unknown = { ...observation, state: undefined, reportedInFlight: undefined, reportedAgeMs: undefined };
    await fleet.startMember("gw2", [unknown]);
    assert.deepEqual((await fleet.observe()).unsafeCoerce(), {
        answered: [
            { gateway: "gw1", servers: [observation], omitted: 0 },
            { gateway: "gw2", servers: [unknown], omitted: 0 },
        ],
        unanswered: [],
    });
    await fleet.observe(fleetKey, "tables");
    assert.deepEqual(calls, [undefined, "tables"]);
});

// Guards against a list that fails because of some faulty gateways, when operators need it most. One doesn't respond,
// one stalls during its response, one is gone, and one has an unreadable registration. Others send an invalid response:
// no JSON, another shape, a number beyond the operator API's range, or another gateway's observations, since the
// address was reused. The list must have the working gateway's observations and name each of the others.
test("a gateway without a valid response is named, and the others' observations are returned", async t => {
    const fleet = await startFleet(t);
    await fleet.startMember("good", [observation]);
    const observations = { gateway: "", servers: [observation], omitted: 0 };
    const ports: Readonly<Record<string, (res: ServerResponse) => void>> = {
        silent: () => undefined,
        stalling: res => res.write("{"),
        noJson: res => res.end("<html>"),
        otherShape: res => sendData(res, { gateway: "otherShape", servers: "none" }),
        largeNumber: res =>
            sendData(res, {
                ...observations,
                gateway: "largeNumber",
                servers: [{ ...observation, ownInFlight: 1e15 }],
            }),
        reused: res => sendData(res, { ...observations, gateway: "good" }),
    };
    for (const [name, respond] of Object.entries(ports)) {
        await fleet.register(name, await openPort(t, respond));
    }
    await fleet.register("gone", "127.0.0.1:1");
    await fleet.store.compareAndSwap({ key: `${storeKeys.memberPrefix}unreadable`, expectedRevision: 0, value: "{" });
    const { answered, unanswered } = (await fleet.observe()).unsafeCoerce();
    assert.deepEqual(answered, [{ ...observations, gateway: "good" }]);
    assert.deepEqual(unanswered.toSorted(), [...Object.keys(ports), "gone", "unreadable"].toSorted());
});

// Guards against a faulty gateway whose endless response exhausts the caller's memory. The caller stops reading at the
// limit and closes the connection. The response would be valid if read completely, so the limit must have ended it.
test("a response beyond the size limit isn't read to its end", async t => {
    const fleet = await startFleet(t);
    await fleet.register(
        "large",
        await openPort(t, res => {
            res.write(" ".repeat(2_000_000));
            sendData(res, { gateway: "large", servers: [], omitted: 0 });
        }),
    );
    assert.deepEqual((await fleet.observe()).unsafeCoerce(), { answered: [], unanswered: ["large"] });
});

// Guards against a client on the network that learns which servers are overloaded, or keeps gateways busy with calls.
test("a caller without the fleet's key gets no observations", async t => {
    const fleet = await startFleet(t);
    const calls = await fleet.startMember("gw1", [observation]);
    assert.deepEqual((await fleet.observe("other")).unsafeCoerce(), { answered: [], unanswered: ["gw1"] });
    assert.deepEqual(calls, []);
});

// More servers are configured than one response may have, with names of the maximum length. A response truncated at
// random could omit the very server that still has requests, and a full response could be rejected as a whole. The busy
// servers must be included, with the number of omitted ones.
test("busy servers aren't omitted if there are more servers than fit the size limit", async t => {
    const fleet = await startFleet(t);
    const servers = Array.from({ length: 2_500 }, (_, i): ServerObservation => ({
        ...observation,
        serverId: createServerId("s".repeat(120), `${i}-`.padEnd(128, "x")),
        ownInFlight: i < 2_000 ? 0 : 4_000_000_000,
        reportedInFlight: 4_000_000_000,
        reportedAgeMs: 4_000_000_000,
    }));
    await fleet.startMember("gw1", servers);
    const { answered } = (await fleet.observe()).unsafeCoerce();
    assert.equal(answered.length, 1, "the largest response is within the size limit");
    assert.equal(answered[0]?.omitted, 500);
    assert.equal(answered[0].servers.length, 2_000);
    assert.equal(answered[0].servers.filter(({ ownInFlight }) => ownInFlight > 0).length, 500);
});

test("a failure of the store is reported rather than taken for an empty fleet", async t => {
    const fleet = await startFleet(t);
    fleet.platform.setFaults({ down: "refusing" });
    assert.equal((await fleet.observe()).swap().unsafeCoerce().kind, "storeUnavailable");
});
