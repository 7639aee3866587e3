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

/** Starts a gateway that is cut off from its servers, next to fake gateways. */
async function startCutOffGateway(
    t: TestContext,
    ...behaviors: readonly FakeGatewayBehavior[]
): Promise<{ readonly fleet: FaultyLinkFleet; readonly fakeGateways: readonly FakeGateway[]; }> {
    const fleet = await FaultyLinkFleet.start(t, 1);
    const fakeGateways: FakeGateway[] = [];
    for (const i of behaviors.keys()) {
        fakeGateways.push(await startFakeGateway(t, fleet.store, `helper-${i}`, busy));
    }
    const { logs } = fleet.edgeOf(0);
    await eventually(
        () => fakeGateways.every(({ name }) => logs.some(line => line["name"] === name)),
        "the gateway knows the fake gateways",
    );
    fleet.cut(0, "reset");
    await eventually(async () => {
        await fleet.send(0);
        return logs.some(line => line["to"] === "lost");
    }, "the gateway detects that its links are lost");
    behaviors.forEach((behavior, i) => {
        const fakeGateway = fakeGateways[i];
        assert.ok(fakeGateway, "the fake gateway was started");
        fakeGateway.requests.length = 0;
        fakeGateway.behavior = behavior;
    });
    return { fleet, fakeGateways };
}

/** Time after a gateway's start in which requests need permits to look for servers, in milliseconds. */
const startupPermitsMs = 4_000;

const answered: FakeGatewayBehavior = { type: "answer", body: "from a fake gateway" };

// Guards against running a non-idempotent request twice: once the response is lost, it may have run.
test("a non-idempotent request whose handover is cut off is neither retried nor reported as not run", async t => {
    const { fleet, fakeGateways } = await startCutOffGateway(t, { type: "lose" }, { type: "lose" });
    const { status } = await fleet.send(0, "POST");
    assert.ok(status === 502 || status === 504, `${status}`);
    assert.equal(fakeGateways.reduce((sum, { requests }) => sum + requests.length, 0), 1);
});

// Guards against failing a request when a handover's connection is lost, although another gateway has time to run it.
test("an idempotent request whose handover is cut off goes to another gateway", async t => {
    const loseFirst: FakeGatewayBehavior = { type: "loseFirst", lost: new Set() };
    const { fleet, fakeGateways } = await startCutOffGateway(t, loseFirst, loseFirst);
    assert.equal((await fleet.send(0)).status, 200);
    assert.deepEqual(fakeGateways.map(({ requests }) => requests.length), [1, 1]);
});

// Guards against a gateway that hangs and holds every request that is handed over to it.
test("an idempotent request whose handover gets no response goes to another gateway", async t => {
    const { fleet, fakeGateways } = await startCutOffGateway(t, { type: "freeze" }, { type: "freeze" });
    const waiting = fleet.send(0);
    await eventually(() => fakeGateways.some(({ requests }) => requests.length > 0), "the request is handed over");
    for (const fakeGateway of fakeGateways) {
        fakeGateway.behavior = answered;
    }
    assert.equal((await waiting).status, 200);
});

// Guards against failures during an upgrade of the gateways: older versions fail the handover path like any unknown
// path.
test("a gateway whose version doesn't support handovers is skipped", async t => {
    const { fleet } = await startCutOffGateway(t, { type: "unknownPath" }, { type: "unknownPath" }, answered);
    assert.deepEqual([(await fleet.send(0, "POST")).status, (await fleet.send(0)).status], [200, 200]);
});

// Guards against failing a request because one gateway refuses it although another could run it.
test("a gateway that refuses handovers is skipped, and its handover header doesn't reach the caller", async t => {
    const { fleet } = await startCutOffGateway(t, busy, busy, answered);
    const got = await fleet.send(0, "POST");
    assert.equal(got.status, 200);
    assert.equal(got.headers["galenaglade-handover"], undefined);
});

// Guards against a Retry-After that is lost in the handover, so that callers retry too soon.
test("a failure that another gateway reports reaches the caller unchanged, with its Retry-After", async t => {
    const verdict = {
        type: "failed",
        kind: "overloaded",
        detail: "allFull",
        notRun: true,
        retryAfterSeconds: 0.75,
        unreached: false,
    };
    const { fleet, fakeGateways } = await startCutOffGateway(t, { type: "verdict", status: "503 Full", verdict });
    const got = await fleet.send(0, "POST");
    assert.deepEqual([got.status, got.headers["retry-after"], fakeGateways[0]?.requests.length], [503, "0.75", 1]);
});

/** Reported by a gateway that found no room for the request. */
const full: FakeGatewayBehavior = {
    type: "verdict",
    status: "503 Full",
    verdict: {
        type: "failed",
        kind: "overloaded",
        detail: "allFull",
        notRun: true,
        retryAfterSeconds: 0.75,
        unreached: false,
        reachedServer: false,
    },
};

// Guards against a non-idempotent request that runs twice: its caller repeats it after a promise that it has not run.
test("a handover that is lost after another gateway's refusal is not reported as that refusal", async t => {
    const loseSecond: FakeGatewayBehavior = {
        type: "afterFirst",
        first: full,
        then: { type: "lose" },
        seen: new Set(),
    };
    const { fleet, fakeGateways } = await startCutOffGateway(t, loseSecond, loseSecond);
    const { status } = await fleet.send(0, "POST");
    assert.deepEqual([status, fakeGateways.map(({ requests }) => requests.length)], [502, [1, 1]]);
});

// Guards against the same repeat, where the second gateway gives a response that this one can't read.
test("a response without an outcome after another gateway's refusal is not reported as a refusal", async t => {
    const unreadable: FakeGatewayBehavior = { type: "verdict", status: "503 Busy", verdict: { type: "unheardOf" } };
    const then: FakeGatewayBehavior = { type: "afterFirst", first: full, then: unreadable, seen: new Set() };
    const { fleet, fakeGateways } = await startCutOffGateway(t, then, then);
    const { status } = await fleet.send(0, "POST");
    assert.deepEqual([status, fakeGateways.map(({ requests }) => requests.length)], [502, [1, 1]]);
});

// Guards against metadata that grants more time or runs than are left: the other gateway acts on it.
test("a handover carries the sending gateway, and the time and runs that are left", async t => {
    const { fleet, fakeGateways } = await startCutOffGateway(t, answered);
    await fleet.send(0);
    const metadata = JSON.parse(fakeGateways[0]?.requests[0]?.headers.get("galenaglade-handover") ?? "{}") as Record<
        string,
        unknown
    >;
    assert.deepEqual([metadata["from"], metadata["service"], metadata["version"], metadata["runs"]], [
        "edge-0",
        "tables",
        1,
        1,
    ]);
    const { ageMs, remainingMs } = metadata;
    assert.ok(typeof ageMs === "number" && typeof remainingMs === "number", "both are sent");
    assert.ok(Math.abs(ageMs + remainingMs - 1_500) < 1, `${ageMs} + ${remainingMs}`);
});

// Guards against requests that travel from gateway to gateway while none of them reaches a server.
test("requests are rejected at once with a Retry-After when no gateway reaches a server", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    // Right after a start, requests wait for permits.
    await sleep(startupPermitsMs);
    for (let i = 0; i < 3; i++) {
        fleet.cut(i, "hang");
    }
    await fleet.sendFor(1_500, 20);
    const handedOver = fleet.edges.flatMap(({ logs }) => logs.filter(line => line["message"] === "handedOver"));
    assert.ok(handedOver.every(line => String(line["end"]).startsWith("refused")), "a request ran on a cut gateway");
    const before = fleet.edges.map(({ logs }) => logs.length);
    const got = await fleet.sendFor(1_000, 20);
    const unexpected = got.filter(({ status, headers }) => status !== 503 || !(Number(headers["retry-after"]) > 0));
    assert.deepEqual(unexpected.map(({ status }) => status), []);
    const failed = fleet.edges.flatMap(({ logs }, i) => logs.slice(before[i]).filter(line => line["status"] === 503));
    const atOnce = failed.filter(line => line["detail"] === "unreached");
    assert.ok(atOnce.length > failed.length / 2, `${atOnce.length} of ${failed.length} at once`);
    assert.deepEqual(atOnce.filter(line => Number(line["tookMs"]) >= 100), []);
});

// Guards against gateways that mistake the end of all servers for a loss of their own links, and hand requests around.
test("no gateway keeps handing requests over after all servers have ended", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    await fleet.sendFor(300, 20);
    await Promise.all(fleet.backends.map(({ raw }) => raw.stop()));
    await fleet.sendFor(2_000, 20);
    for (const { logs } of fleet.edges) {
        const states = logs.filter(line => line["message"] === "serverReach").map(line => line["to"]);
        // Another gateway may have seen a response just before the servers ended, so one loss of links is plausible.
        assert.ok(states.filter(state => state === "lost").length <= 1, states.join(" "));
        assert.equal(states.at(-1), "unreachable", states.join(" "));
    }
    const requests = fleet.backends.flatMap(({ servedRequests }) => servedRequests());
    assert.deepEqual(new Set(requests.map(({ headers }) => headers.get("x-id"))).size, requests.length);
});

// Guards against a gateway that keeps loading others after its own links have recovered.
test("a gateway whose links have recovered stops handing requests over", async t => {
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

// Guards against flapping links: each change of the reachability state costs requests that are sent in vain.
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

// Guards against a truncated response that looks complete: a large one is streamed through two gateways.
test("a large response passes a handover complete and signed, and a truncated one fails at the caller", async t => {
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

// Guards against a request body that is changed or truncated by a handover.
test("request bodies of any size pass a handover unchanged", async t => {
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

// Guards against servers that keep working for disconnected callers: the disconnect has to pass through the handover.
test("a caller's disconnect frees the server behind another gateway", async t => {
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
    await eventually(() => served > 0, "the request reaches a server");
    leaving.abort();
    await left;
    await eventually(() => closed === served, "the server's connection is closed");
});

// Guards against other processes that bypass limits, keys and routes through the port for gateways.
test("a malformed handover, or one of an unregistered sender, is refused with a reason and runs nothing", async t => {
    const fleet = await FaultyLinkFleet.start(t, 1);
    const send = async (metadata: string | undefined): Promise<[number, string]> => {
        const headers = {
            "host": "survey.example",
            "x-id": "forged",
            ...(metadata && { "galenaglade-handover": metadata }),
        };
        const res = await request(`${fleet.edgeOf(0).peersUrl}/handover`, { method: "POST", headers, body: "filed" });
        await res.body.dump();
        return [res.statusCode, String(res.headers["galenaglade-handover"])];
    };
    const metadata = {
        from: "stranger",
        target: "/returns/x",
        service: "tables",
        version: 1,
        ageMs: 0,
        remainingMs: 1_000,
        runs: 1,
        caller: "",
    };
    for (const bad of [undefined, "{", "[]", JSON.stringify({ ...metadata, target: "http://elsewhere/" })]) {
        const [status, outcome] = await send(bad);
        assert.equal(status, 400);
        assert.match(outcome, /malformed/);
    }
    const [status, outcome] = await send(JSON.stringify(metadata));
    assert.equal(status, 403);
    assert.match(outcome, /notRegistered/);
    assert.deepEqual(fleet.backends.flatMap(({ servedRequests }) => servedRequests()), []);
    const refusals = fleet.edgeOf(0).logs.filter(line => line["message"] === "handoverRefused");
    assert.deepEqual(refusals.map(line => line["reason"]), [...Array<string>(4).fill("malformed"), "notRegistered"]);
});

// Guards against repeats beyond the retry budget: a server has got the request, though the gateway that sent it there
// reaches the service no longer.
test("a request that a server turned away at another gateway takes from the retry budget when it is handed over again", async t => {
    const verdict = {
        type: "failed",
        kind: "backendShed",
        detail: "turnedAway",
        notRun: true,
        unreached: true,
        reachedServer: true,
    };
    const turnedAway: FakeGatewayBehavior = { type: "verdict", status: "503 Shed", verdict };
    const { fleet, fakeGateways } = await startCutOffGateway(t, turnedAway, turnedAway);
    assert.equal((await fleet.send(0)).status, 503);
    assert.deepEqual(fakeGateways.map(({ requests }) => requests.length), [1, 1]);
    const metrics = await (await request(fleet.edgeOf(0).metricsUrl)).body.text();
    const sent = /galenaglade_repeats_total\{[^}]*decision="sent"[^}]*\} (\d+)/.exec(metrics)?.[1];
    assert.ok(Number(sent) >= 1, "the second handover is counted");
});
