import { checkAtMostOnce } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { FaultyLinkFleet } from "./support/faultyLinkFleet.js";
import { type FakeGatewayBehavior, type FakeGateway, startFakeGateway } from "./support/fakeGateway.js";
import { eventually, renderSignedResponse } from "./support/testEdge.js";

const busy: FakeGatewayBehavior = {
    type: "verdict",
    status: "503 Busy",
    verdict: { type: "refused", reason: "busy", named: [] },
};

/** One gateway that is cut off from its servers, beside stand-ins for other gateways. */
async function startCutGateway(
    t: TestContext,
    ...conducts: readonly FakeGatewayBehavior[]
): Promise<{ readonly fleet: FaultyLinkFleet; readonly helpers: readonly FakeGateway[]; }> {
    const fleet = await FaultyLinkFleet.start(t, 1);
    const helpers: FakeGateway[] = [];
    for (const i of conducts.keys()) {
        helpers.push(await startFakeGateway(t, fleet.store, `helper-${i}`, busy));
    }
    const { logs } = fleet.edgeOf(0);
    await eventually(
        () => helpers.every(({ name }) => logs.some(line => line["name"] === name)),
        "the helpers are known",
    );
    fleet.cut(0, "reset");
    await eventually(async () => {
        await fleet.send(0);
        return logs.some(line => line["to"] === "lost");
    }, "the links are known to be lost");
    conducts.forEach((conduct, i) => {
        const helper = helpers[i];
        assert.ok(helper, "it was started");
        helper.requests.length = 0;
        helper.behavior = conduct;
    });
    return { fleet, helpers };
}

/** From a gateway's start until requests don't take turns any more, in milliseconds. */
const startTurnsMs = 4_000;

const answered: FakeGatewayBehavior = { type: "answer", body: "from a helper" };

// Guards against a request that runs twice: whoever lost the answer can't know that it hasn't run.
test("a non-idempotent request whose helper is lost isn't sent again, nor said not to have run", async t => {
    const { fleet, helpers } = await startCutGateway(t, { type: "lose" }, { type: "lose" });
    const { status } = await fleet.send(0, "POST");
    assert.ok(status === 502 || status === 504, `${status}`);
    assert.equal(helpers.reduce((sum, { requests }) => sum + requests.length, 0), 1);
});

// Guards against callers who lose their answers with the helper although another one has time to run the request.
test("an idempotent request whose helper is lost goes to another one", async t => {
    const loseFirst: FakeGatewayBehavior = { type: "loseFirst", lost: new Set() };
    const { fleet, helpers } = await startCutGateway(t, loseFirst, loseFirst);
    assert.equal((await fleet.send(0)).status, 200);
    assert.deepEqual(helpers.map(({ requests }) => requests.length), [1, 1]);
});

// Guards against a helper that stands still with all that is handed to it.
test("an idempotent request whose helper says nothing goes to another one", async t => {
    const { fleet, helpers } = await startCutGateway(t, { type: "freeze" }, { type: "freeze" });
    const waiting = fleet.send(0);
    await eventually(() => helpers.some(({ requests }) => requests.length > 0), "it was handed over");
    for (const helper of helpers) {
        helper.behavior = answered;
    }
    assert.equal((await waiting).status, 200);
});

// Guards against a roll of the gateways: programs of before answer the path of handovers like any other that they don't know.
test("a gateway whose program knows no handovers is passed over", async t => {
    const { fleet } = await startCutGateway(t, { type: "unknownPath" }, { type: "unknownPath" }, answered);
    assert.deepEqual([(await fleet.send(0, "POST")).status, (await fleet.send(0)).status], [200, 200]);
});

// Guards against a helper's refusal that ends a request which another helper could have run.
test("a helper that takes nothing is passed over, and what it says to callers isn't passed on", async t => {
    const { fleet } = await startCutGateway(t, busy, busy, answered);
    const got = await fleet.send(0, "POST");
    assert.equal(got.status, 200);
    assert.equal(got.headers["galenaglade-handover"], undefined);
});

// Guards against a time to come back that is lost on the way, so that callers return too soon.
test("a helper's true refusal reaches the caller as it is", async t => {
    const verdict = {
        type: "failed",
        kind: "overloaded",
        detail: "allFull",
        notRun: true,
        retryAfterSeconds: 0.75,
        unreached: false,
    };
    const { fleet, helpers } = await startCutGateway(t, { type: "verdict", status: "503 Full", verdict });
    const got = await fleet.send(0, "POST");
    assert.deepEqual([got.status, got.headers["retry-after"], helpers[0]?.requests.length], [503, "0.75", 1]);
});

// Guards against an order that says more than is true: the helper runs what the order says.
test("a helper is told what is left of the request's time and runs, and of whom it is", async t => {
    const { fleet, helpers } = await startCutGateway(t, answered);
    await fleet.send(0);
    const order = JSON.parse(helpers[0]?.requests[0]?.headers.get("galenaglade-handover") ?? "{}") as Record<
        string,
        unknown
    >;
    assert.deepEqual([order["from"], order["service"], order["version"], order["runs"]], ["edge-0", "tables", 1, 1]);
    const { ageMs, remainingMs } = order;
    assert.ok(typeof ageMs === "number" && typeof remainingMs === "number", "both are told");
    assert.ok(Math.abs(ageMs + remainingMs - 1_500) < 1, `${ageMs} + ${remainingMs}`);
});

// Guards against requests that go from host to host while none of them reaches a server.
test("where no gateway reaches a server, requests are refused at once with a time to come back", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    // Requests wait for their turn for a while after a start.
    await sleep(startTurnsMs);
    for (let i = 0; i < 3; i++) {
        fleet.cut(i, "hang");
    }
    await fleet.sendFor(1_500, 20);
    const handedOver = fleet.edges.flatMap(({ logs }) => logs.filter(line => line["message"] === "handedOver"));
    assert.ok(handedOver.every(line => String(line["end"]).startsWith("refused")), "a request ran on a cut gateway");
    const before = fleet.edges.map(({ logs }) => logs.length);
    const got = await fleet.sendFor(1_000, 20);
    const kept = got.filter(({ status, headers }) => status !== 503 || !(Number(headers["retry-after"]) > 0));
    assert.deepEqual(kept.map(({ status }) => status), []);
    const failed = fleet.edges.flatMap(({ logs }, i) => logs.slice(before[i]).filter(line => line["status"] === 503));
    const atOnce = failed.filter(line => line["detail"] === "unreached");
    assert.ok(atOnce.length > failed.length / 2, `${atOnce.length} of ${failed.length} at once`);
    assert.deepEqual(atOnce.filter(line => Number(line["tookMs"]) >= 100), []);
});

// Guards against gateways that take the end of all servers for a loss of their own links, and hand their callers around.
test("where all servers have ended, no gateway hands requests over for long", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    await fleet.sendFor(300, 20);
    await Promise.all(fleet.backends.map(({ raw }) => raw.stop()));
    await fleet.sendFor(2_000, 20);
    for (const { logs } of fleet.edges) {
        const states = logs.filter(line => line["message"] === "serverReach").map(line => line["to"]);
        // Another gateway's last answer of a server may be newer than the end of all.
        assert.ok(states.filter(state => state === "lost").length <= 1, states.join(" "));
        assert.equal(states.at(-1), "unreachable", states.join(" "));
    }
    const requests = fleet.backends.flatMap(({ servedRequests }) => servedRequests());
    assert.deepEqual(new Set(requests.map(({ headers }) => headers.get("x-id"))).size, requests.length);
});

// Guards against hosts that go on burdening others after their links work again.
test("a gateway whose links work again sends its requests itself", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    fleet.cut(0, "hang");
    await fleet.sendFor(1_500, 20);
    fleet.restore(0);
    await sleep(2_000);
    const before = fleet.edgeOf(0).logs.length;
    const got = await fleet.sendFor(500, 20);
    assert.deepEqual(got.filter(({ status }) => status !== 200), []);
    assert.deepEqual(fleet.edgeOf(0).logs.slice(before).filter(line => line["message"] === "handedOver"), []);
});

// Guards against links that come and go: each change of mind costs requests that are sent in vain.
test("a gateway whose links flap changes its mind a bounded number of times, and its callers are served", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    const untilMs = performance.now() + 10_000;
    const flapping = (async () => {
        while (performance.now() < untilMs) {
            fleet.cut(0, "reset");
            await sleep(500);
            fleet.restore(0);
            await sleep(500);
        }
    })();
    const got = await fleet.sendFor(10_000, 10);
    await flapping;
    const lost = fleet.edgeOf(0).logs.filter(line => line["message"] === "serverReach" && line["to"] === "lost");
    assert.ok(lost.length <= 5, `${lost.length} losses`);
    const failed = got.filter(({ status }) => status !== 200).length;
    assert.ok(failed <= 10 + got.length / 50, `${failed} of ${got.length} failed`);
    assert.deepEqual(checkAtMostOnce(fleet.history), []);
});

// Guards against half an answer that looks whole: a large one passes two gateways in pieces.
test("a large answer comes through another gateway whole and signed, and one that breaks off isn't whole", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    const large = "x".repeat(1_500_000);
    fleet.serve = req => req.socket.write(renderSignedResponse(req, large));
    fleet.cut(0, "reset");
    await fleet.sendFor(300, 20);
    const got = await fleet.send(0);
    assert.deepEqual([got.status, got.body.length, got.headers["x-signed"]], [200, large.length, "1"]);
    assert.equal(got.headers["galenaglade-handover"], undefined);
    fleet.serve = req => {
        const head = renderSignedResponse(req, "").replace("content-length: 0", `content-length: ${large.length}`);
        req.socket.write(head + "x".repeat(1_000_000));
        setTimeout(() => req.socket.resetAndDestroy(), 300);
    };
    await assert.rejects(fleet.send(0));
});

// Guards against a body that a helper runs changed or in part.
test("bodies of any size come through another gateway unchanged", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    fleet.serve = req =>
        req.socket.write(renderSignedResponse(req, `${req.path} ${req.body.length} ${req.body.slice(-3)}`));
    fleet.cut(0, "reset");
    await fleet.sendFor(300, 20);
    for (const bytes of [0, 10, 60_000]) {
        const body = "y".repeat(Math.max(0, bytes - 3)) + (bytes > 0 ? "end" : "");
        const url = `${fleet.edgeOf(0).url}/returns/a%20b?q=%C3%A5`;
        const headers = { "host": "survey.example", "x-id": `b${bytes}` };
        const res = await request(url, { method: "POST", headers, body });
        assert.equal(res.statusCode, 200);
        assert.equal(await res.body.text(), `/returns/a%20b?q=%C3%A5 ${bytes} ${bytes > 0 ? "end" : ""}`);
    }
});

// Guards against servers that work for callers who have left: the gateway that has the server's connection isn't theirs.
test("a caller who leaves frees the server behind another gateway", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    fleet.cut(0, "reset");
    await fleet.sendFor(300, 20);
    let closed = 0;
    let served = 0;
    fleet.serve = req => {
        served++;
        req.socket.once("close", () => closed++);
    };
    const leaving = new AbortController();
    const left = assert.rejects(fleet.send(0, "GET", leaving.signal));
    await eventually(() => served > 0, "the server has it");
    leaving.abort();
    await left;
    await eventually(() => closed === served, "the server's connection is closed");
});

// Guards against requests that anybody on the network slips past limits, keys and routes through the port of the gateways.
test("a handover that can't be read, or isn't of a registered gateway, gets a clear answer and runs nothing", async t => {
    const fleet = await FaultyLinkFleet.start(t, 1);
    const send = async (order: string | undefined): Promise<[number, string]> => {
        const headers = { "host": "survey.example", "x-id": "forged", ...(order && { "galenaglade-handover": order }) };
        const res = await request(`${fleet.edgeOf(0).peersUrl}/handover`, { method: "POST", headers, body: "filed" });
        await res.body.dump();
        return [res.statusCode, String(res.headers["galenaglade-handover"])];
    };
    const order = {
        from: "stranger",
        target: "/returns/x",
        service: "tables",
        version: 1,
        ageMs: 0,
        remainingMs: 1_000,
        runs: 1,
        caller: "",
    };
    for (const bad of [undefined, "{", "[]", JSON.stringify({ ...order, target: "http://elsewhere/" })]) {
        const [status, mark] = await send(bad);
        assert.equal(status, 400);
        assert.match(mark, /malformed/);
    }
    const [status, mark] = await send(JSON.stringify(order));
    assert.equal(status, 403);
    assert.match(mark, /notRegistered/);
    assert.deepEqual(fleet.backends.flatMap(({ servedRequests }) => servedRequests()), []);
    const refusals = fleet.edgeOf(0).logs.filter(line => line["message"] === "handoverRefused");
    assert.deepEqual(refusals.map(line => line["reason"]), [...Array<string>(4).fill("malformed"), "notRegistered"]);
});
