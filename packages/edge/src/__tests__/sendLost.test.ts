import { type RawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { call, eventually, registerServer, startBackend, startEdgeWith, type TestEdge } from "./support/testEdge.js";

type Line = Readonly<Record<string, unknown>>;

async function findLostSends(edge: TestEdge, count: number): Promise<readonly Line[]> {
    const find = (): readonly Line[] => edge.logs.filter(line => line["message"] === "sendLost");
    await eventually(() => find().length >= count, `${count} lost sends are logged`);
    return find();
}

// Guards against confusing a server that crashed with one that only lost a connection: callers get the same response.
test("the log distinguishes a server that exited during a request from one that lost its connection", async t => {
    const reset = (req: RawRequest): void => {
        req.socket.resetAndDestroy();
    };
    const backend = await startBackend(t, "a", reset);
    const edge = await startEdgeWith(t, backend);
    await call(edge, "/returns/x", { method: "POST", body: "filed" });
    assert.deepEqual((await findLostSends(edge, 1)).map(line => [line["from"], line["server"]]), [["a", "listening"]]);
    await backend.raw.stop();
    const ending = await startBackend(t, "b", req => void ending.raw.stop().then(() => reset(req)));
    registerServer(edge.store, ending);
    await eventually(() => edge.logs.some(line => line["name"] === "b"), "the server is discovered");
    for (let i = 0; ending.servedRequests().length === 0 && i < 50; i++) {
        await call(edge, "/returns/x", { method: "POST", body: "filed" });
    }
    const [, lost] = await findLostSends(edge, 2);
    assert.deepEqual([lost?.["from"], lost?.["server"]], ["b", "ended"]);
});

// Guards against a caller's request that crashes one server after the other without being identifiable in the log.
test("requests share a content id if and only if their method, path, caller and body are the same", async t => {
    const backend = await startBackend(t, "a", req => req.socket.resetAndDestroy());
    const edge = await startEdgeWith(t, backend);
    const large = "x".repeat(50_000);
    const bodies = ["filed", "filed", "other", large, large, `${large}y`];
    for (const body of bodies) {
        await call(edge, "/returns/x", { method: "POST", body });
    }
    await call(edge, "/returns/y", { method: "POST", body: "filed" });
    const ids = (await findLostSends(edge, bodies.length + 1)).map(line => String(line["contentId"]));
    assert.equal(ids[0], ids[1]);
    assert.equal(ids[3], ids[4]);
    assert.equal(new Set(ids).size, 5);
});
