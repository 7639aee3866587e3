import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { type ConfigurationOffer, type Heartbeat } from "@galenaglade/membership";
import assert from "node:assert/strict";
import { once } from "node:events";
import { request } from "node:http";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { createPeerCaller, createPeerListener, type PeerListener } from "../index.js";

const identity = { name: "gw1", incarnation: "1", availabilityZone: "a", peerAddress: "127.0.0.1:1" };
const heartbeat: Heartbeat = {
    from: identity,
    revision: 3,
    rosterVersion: 2,
    freshnessAgeMs: undefined,
    recovering: false,
    signals: [{ serverId: "tables/t1", kind: "turnedCold", epoch: 1, incarnation: undefined, ageMs: 5 }],
    loads: [{ serverId: "tables/t1", ownInFlight: 1, reportedInFlight: undefined, ageMs: 5 }],
    stopping: false,
};
const offer: ConfigurationOffer = { offered: undefined, roster: { version: 1, members: [identity] } };
const coldStartHeartbeat: ColdStartHeartbeat = {
    from: "gw1/1",
    rosterVersion: 1,
    leases: [{ holder: "gw1/1", sequence: 3, ageMs: 40 }],
    words: [{ serverId: "tables/t1", epoch: 2, inFlight: 1 }],
    departures: [{ gateway: "gw2/1", stoppedAgoMs: -20 }],
    absent: ["gw3/1"],
    isAskerSuspended: false,
    signals: [{ serverId: "tables/t1", kind: "warm", epoch: 2, incarnation: "life", ageMs: 7 }],
};
const received: unknown[] = [];
let listener: PeerListener;
let address: string;

before(async () => {
    listener = createPeerListener({ host: "127.0.0.1", port: 0, fleetKey: "secret" });
    const listening = await listener.listen({
        heartbeat: got => {
            received.push(got);
            return got;
        },
        fetch: () => offer,
        offer: got => {
            received.push(got);
            return { gateway: identity, revision: 1, rosterVersion: 1, recentCallers: [] };
        },
        exchangeColdStart: got => {
            received.push(got);
            return got;
        },
        observe: () => ({ gateway: identity.name, servers: [], omitted: 0 }),
    });
    address = listening.toMaybe().extract() ?? assert.fail();
});

after(() => listener.close());

/** Sends a call with an exact body. @returns status code of the response */
async function send(path: string, body: string, headers: Readonly<Record<string, string>> = {}): Promise<number> {
    const req = request(`http://${address}/${path}`, {
        method: "POST",
        agent: false,
        headers: { "content-type": "application/json", authorization: "Bearer secret", ...headers },
    });
    req.on("error", () => undefined);
    req.end(body);
    const [res] = await once(req, "response") as [{ readonly statusCode: number; resume(): void; }];
    res.resume();
    return res.statusCode;
}

test("heartbeats, fetches, offers and cold start heartbeats arrive unchanged over TCP", async () => {
    const caller = createPeerCaller({ fleetKey: "secret", callTimeoutMs: 10_000 });
    assert.deepEqual((await caller.heartbeat(address, heartbeat)).toMaybe().extract(), heartbeat);
    assert.deepEqual((await caller.fetch(address)).toMaybe().extract(), {
        offered: undefined,
        roster: { version: 1, members: [identity] },
    });
    assert.equal((await caller.offer(address, offer)).toMaybe().extract()?.gateway.name, "gw1");
    const response = await caller.exchangeColdStart(address, coldStartHeartbeat);
    assert.deepEqual(response.toMaybe().extract(), coldStartHeartbeat);
});

// Guards against a client on the network that sends gateways its own configuration. Without the fleet's key, no call
// reaches a procedure, even if it is valid otherwise.
test("a caller without the fleet's key is rejected", async () => {
    const before = received.length;
    for (const authorization of ["", "Bearer", "Bearer secreT", "Bearer secret2", "secret"]) {
        assert.equal(await send("heartbeat", JSON.stringify(heartbeat), { authorization }), 401);
    }
    const unauthorizedCaller = createPeerCaller({ fleetKey: "other", callTimeoutMs: 10_000 });
    assert.equal((await unauthorizedCaller.offer(address, offer)).swap().toMaybe().extract()?.kind, "peerUnreachable");
    assert.equal(received.length, before);
});

// Guards against one faulty process of the fleet that crashes the others or exhausts their memory.
test("malformed and oversized calls are rejected, and valid ones get a response after them", async () => {
    const before = received.length;
    assert.equal(await send("heartbeat", "{"), 400);
    assert.equal(await send("heartbeat", JSON.stringify({ ...heartbeat, revision: -1 })), 400);
    assert.equal(
        await send("heartbeat", JSON.stringify({ ...heartbeat, from: { ...identity, peerAddress: "x" } })),
        400,
    );
    assert.equal(await send("nothing", "{}"), 404);
    assert.equal(await send("heartbeat", " ".repeat(400_000)), 413);
    assert.equal(await send("heartbeat", " ".repeat(400_000), { "transfer-encoding": "chunked" }), 413);
    assert.equal(received.length, before);
    assert.equal(await send("heartbeat", JSON.stringify(heartbeat)), 200);
});

// Guards against callers that never finish a call and use up the connections of the fleet. The port closes such a
// connection; the wait is limited by the timeout of the test runner only.
test("the connection of a call that is never finished is closed", async () => {
    const [host = "", port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.write("POST /heartbeat HTTP/1.1\r\nhost: x\r\n");
    socket.resume();
    await once(socket, "close");
});
