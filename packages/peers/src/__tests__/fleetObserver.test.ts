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
const seen: ServerObservation = {
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

/** Waits for something that must come; the wide limit is the test runner's. */
async function untilRegistered(store: HttpKeyValueStore, name: string): Promise<void> {
    const isRegistered = async () => {
        const { entries } = (await store.list(storeKeys.memberPrefix)).unsafeCoerce();
        return entries.some(({ key }) => key.endsWith(`/${name}`));
    };
    while (!await isRegistered()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** Opens a peer port that answers however the test wants. */
async function openPort(t: TestContext, answer: (res: ServerResponse) => void): Promise<string> {
    const server = createServer((req, res) => {
        req.resume();
        res.on("error", () => undefined);
        answer(res);
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

test("gateways' words stand side by side, of one service or of all", async t => {
    const fleet = await startFleet(t);
    const calls = await fleet.startMember("gw1", [seen]);
    const unknown = { ...seen, state: undefined, reportedInFlight: undefined, reportedAgeMs: undefined };
    await fleet.startMember("gw2", [unknown]);
    assert.deepEqual((await fleet.observe()).unsafeCoerce(), {
        answered: [
            { gateway: "gw1", servers: [seen], omitted: 0 },
            { gateway: "gw2", servers: [unknown], omitted: 0 },
        ],
        unanswered: [],
    });
    await fleet.observe(fleetKey, "tables");
    assert.deepEqual(calls, [undefined, "tables"]);
});

// An operator asks for the list while some gateways are ill, which is when the list is needed most. One is silent, one
// stalls in its answer, one is gone, and the others answer what can't be used: no JSON, another shape, a number that
// the operators' messages can't hold, an answer without end, and another gateway's word, since its address was given
// away. The list must come with the good gateway's word and name each of the others.
test("a gateway that gives no usable answer is named, and the others' words come", async t => {
    const fleet = await startFleet(t);
    await fleet.startMember("good", [seen]);
    const word = { gateway: "", servers: [seen], omitted: 0 };
    const ports: Readonly<Record<string, (res: ServerResponse) => void>> = {
        silent: () => undefined,
        stalling: res => res.write("{"),
        noJson: res => res.end("<html>"),
        otherShape: res => sendData(res, { gateway: "otherShape", servers: "none" }),
        largeNumber: res =>
            sendData(res, { ...word, gateway: "largeNumber", servers: [{ ...seen, ownInFlight: 1e15 }] }),
        reused: res => sendData(res, { ...word, gateway: "good" }),
    };
    for (const [name, answer] of Object.entries(ports)) {
        await fleet.register(name, await openPort(t, answer));
    }
    await fleet.register("gone", "127.0.0.1:1");
    await fleet.store.compareAndSwap({ key: `${storeKeys.memberPrefix}unreadable`, expectedRevision: 0, value: "{" });
    const { answered, unanswered } = (await fleet.observe()).unsafeCoerce();
    assert.deepEqual(answered, [{ ...word, gateway: "good" }]);
    assert.deepEqual(unanswered.toSorted(), [...Object.keys(ports), "gone", "unreadable"].toSorted());
});

// A faulty gateway answers without end. Whoever asked stops to read at the limit and closes the connection, long before
// its memory is full; the answer that would be good if it were read whole shows that the limit is what ended it.
test("an answer beyond the size limit is not read to its end", async t => {
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

// A stranger on the network could learn which servers are weak, and keep gateways busy with his questions.
test("a stranger without the fleet's key learns nothing", async t => {
    const fleet = await startFleet(t);
    const calls = await fleet.startMember("gw1", [seen]);
    assert.deepEqual((await fleet.observe("other")).unsafeCoerce(), { answered: [], unanswered: ["gw1"] });
    assert.deepEqual(calls, []);
});

// More servers are declared than one answer may tell of, with the longest names. An answer cut at random could lack the
// very server that still has requests; an answer of full size could be refused whole. The busy servers come, with how
// many others are lacking.
test("of more servers than fit the size limit, the busy ones are told of", async t => {
    const fleet = await startFleet(t);
    const servers = Array.from({ length: 2_500 }, (_, i): ServerObservation => ({
        ...seen,
        serverId: createServerId("s".repeat(120), `${i}-`.padEnd(128, "x")),
        ownInFlight: i < 2_000 ? 0 : 4_000_000_000,
        reportedInFlight: 4_000_000_000,
        reportedAgeMs: 4_000_000_000,
    }));
    await fleet.startMember("gw1", servers);
    const { answered } = (await fleet.observe()).unsafeCoerce();
    assert.equal(answered.length, 1, "the largest answer is within what is read");
    assert.equal(answered[0]?.omitted, 500);
    assert.equal(answered[0].servers.length, 2_000);
    assert.equal(answered[0].servers.filter(({ ownInFlight }) => ownInFlight > 0).length, 500);
});

test("the store's failure is told, not taken for an empty fleet", async t => {
    const fleet = await startFleet(t);
    fleet.platform.setFaults({ down: "refusing" });
    assert.equal((await fleet.observe()).swap().unsafeCoerce().kind, "storeUnavailable");
});
