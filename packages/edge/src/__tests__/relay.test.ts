import { directStoreReadMs } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { StoreLink } from "./support/storeLink.js";
import { MemoryStore } from "./support/memoryStore.js";
import { createConfiguration, eventually, startEdge, type TestEdge, waitUntilReady } from "./support/testEdge.js";

interface Member {
    readonly edge: TestEdge;
    readonly link: StoreLink;
}

interface TestFleet {
    readonly store: MemoryStore;
    readonly relay: Member;
    readonly followers: readonly Member[];
}

function hasLogged({ edge }: Member, message: string, fields: Readonly<Record<string, unknown>> = {}): boolean {
    return edge.logs.some(line =>
        line["message"] === message && Object.entries(fields).every(([name, value]) => line[name] === value)
    );
}

/** Starts gateways of one zone, each with its own link to the store, and waits until all but one use the same relay. */
async function startFleet(t: TestContext, count: number): Promise<TestFleet> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const members: Member[] = [];
    for (let i = 0; i < count; i++) {
        const link = new StoreLink(store);
        const edge = await startEdge(t, link, { name: `edge-${i}` });
        await waitUntilReady(edge);
        members.push({ edge, link });
    }
    // Gateways that got requests while they knew only a part of the fleet watch the store for some seconds more.
    await sleep(directStoreReadMs + 1_500);
    const findRelay = (): Member | undefined =>
        members.find(member => {
            const others = members.filter(other => other !== member);
            return others.every(other => findSource(other) === member.edge.name);
        });
    await eventually(() => findRelay() !== undefined, "all but one use the same relay");
    const relay = findRelay();
    assert.ok(relay);
    return { store, relay, followers: members.filter(member => member !== relay) };
}

/** @returns the relay that a gateway uses, by its latest log line on that */
function findSource({ edge }: Member): unknown {
    return edge.logs.findLast(line => line["message"] === "relayChosen")?.["peer"];
}

/** Writes a configuration version and waits until it is in force in the given gateways. */
async function applyVersion(store: MemoryStore, members: readonly Member[], version: number): Promise<void> {
    store.put("configuration", createConfiguration(version));
    const fields = { subject: "configuration", name: String(version) };
    await eventually(
        () => members.every(member => hasLogged(member, "belief", fields)),
        `version ${version} is in force`,
    );
}

test("gateways that use a relay learn of changes with hardly a call of the store", async t => {
    const { store, relay, followers } = await startFleet(t, 4);
    const before = followers.map(({ link }) => link.calls);
    for (let version = 2; version < 6; version++) {
        await applyVersion(store, [relay, ...followers], version);
    }
    for (const [i, { link }] of followers.entries()) {
        // The lease of the registration may be renewed in that time.
        assert.ok(link.calls - (before[i] ?? 0) <= 1, `${link.calls - (before[i] ?? 0)} calls`);
    }
});

// Guards against a change that comes into force late, or never, in gateways whose relay fails or loses the store right
// before the change.
for (
    const [what, harm] of [
        ["ends", async ({ edge }: Member) => edge.stop()],
        ["is cut off from the store", ({ link }: Member) => {
            link.isCut = true;
            return Promise.resolve();
        }],
        ["is refused by the store", ({ link }: Member) => {
            link.isRefusing = true;
            return Promise.resolve();
        }],
    ] as const
) {
    test(`if the relay ${what}, the other gateways get changes from another source`, async t => {
        const { store, relay, followers } = await startFleet(t, 4);
        await harm(relay);
        await applyVersion(store, followers, 2);
        await eventually(() => followers.every(member => hasLogged(member, "relayLost")), "all detect the failure");
        await applyVersion(store, followers, 3);
    });
}

test("after all gateways were cut off from the store, they get the changes that they missed", async t => {
    const { store, relay, followers } = await startFleet(t, 3);
    const members = [relay, ...followers];
    for (const { link } of members) {
        link.isCut = true;
    }
    store.put("configuration", createConfiguration(7));
    await eventually(() => members.every(member => hasLogged(member, "storeLost")), "all detect the loss of the store");
    for (const { link } of members) {
        link.isCut = false;
    }
    await applyVersion(store, members, 8);
});

test("a malformed request for changes is refused, and the gateway keeps serving", async t => {
    const { relay } = await startFleet(t, 2);
    for (
        const path of [
            "/",
            "/store-changes",
            "/store-changes?after=x&wait=1",
            "/store-changes?after=1&wait=-1",
            "/store-changes?after=1",
        ]
    ) {
        const res = await request(`${relay.edge.peersUrl}${path}`);
        await res.body.dump();
        assert.equal(res.statusCode, 400, path);
    }
    // A request with an excessive wait gets its response after the usual maximum.
    const res = await request(`${relay.edge.peersUrl}/store-changes?after=999999&wait=99999999`);
    assert.equal(res.statusCode, 200);
    const response = await res.body.json() as { readonly changed: readonly unknown[]; };
    assert.deepEqual(response.changed, []);
});
