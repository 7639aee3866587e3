import { type FleetConfiguration } from "@galenaglade/fleet-state";
import { type RawRequest } from "@galenaglade/stand-ins";
import { type Workspace } from "@galenaglade/workspaces";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import { MemoryStore } from "./support/memoryStore.js";
import {
    createConfiguration,
    eventually,
    registerServer,
    renderSignedResponse,
    returns,
    startBackend,
    startEdge,
    tables,
    waitUntilReady,
} from "./support/testEdge.js";

/** Longer than a change in the store takes to come into force, in milliseconds. */
const rejectAfterMs = 600;

interface SendResult {
    readonly status: number;
    /** Workspace and key that each attempt passed on to a server, in order. */
    readonly received: readonly { readonly workspace: string | undefined; readonly key: string | undefined; }[];
}

/** Sends a request with key `k`, which its first server rejects after another configuration came into force. */
async function sendAcross(
    t: TestContext,
    before: readonly Workspace[] | undefined,
    after: readonly Workspace[],
): Promise<SendResult> {
    const store = new MemoryStore();
    const write = (version: number, workspaces: readonly Workspace[] | undefined): void => {
        const configuration: FleetConfiguration = createConfiguration(version, [tables, returns]);
        store.put("configuration", { ...configuration, workspaces });
    };
    const arrived: RawRequest[] = [];
    const serve = (req: RawRequest): void => {
        arrived.push(req);
        if (arrived.length > 1) {
            req.socket.write(renderSignedResponse(req, "served"));
            return;
        }
        write(2, after);
        setTimeout(() => {
            req.socket.write("HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\n\r\n");
        }, rejectAfterMs);
    };
    write(1, before);
    registerServer(store, await startBackend(t, "i-1", serve));
    registerServer(store, await startBackend(t, "i-2", serve));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    await eventually(
        () => edge.logs.some(line => line["subject"] === "gateway"),
        "the gateway sees its own registration",
    );
    const res = await request(`${edge.url}/tables/1`, {
        headers: {
            "host": "survey.example",
            "x-id": "1",
            "x-patience-ms": "8000",
            "x-key": "k",
            "x-workspace": "forged",
        },
    });
    await res.body.dump();
    const inForce = (): boolean => edge.logs.some(({ name, change }) => name === "2" && change === "inForce");
    await eventually(inForce, "the second version is in force");
    const received = arrived.map(({ headers }) => ({
        workspace: headers.get("x-workspace"),
        key: headers.get("x-key"),
    }));
    return { status: res.statusCode, received };
}

// Guards against a 401, after which a caller doesn't retry, for a key that a new version moves to another workspace
// while the request waits or is retried. A 401 is only for keys that no workspace has.
test("a request whose key moves to another workspace while it is retried gets no 401", async t => {
    const result = await sendAcross(t, [{ name: "north", keys: ["k"] }], [
        { name: "north", keys: [] },
        { name: "south", keys: ["k"] },
    ]);
    assert.notEqual(result.status, 401);
    assert.ok(result.received.slice(1).every(({ workspace }) => workspace === "south"));
});

// Guards against a retry that passes a caller's key and forged workspace name on to a backend server: the request
// arrived while the configuration had no workspaces, and is retried after the first version with workspaces.
test("a request that arrived before workspaces came into force is not retried with its key", async t => {
    const { received } = await sendAcross(t, undefined, [{ name: "south", keys: ["other"] }]);
    assert.deepEqual(received.slice(1), []);
});
