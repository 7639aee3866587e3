import { type RawRequest, startRawBackend } from "@galenaglade/stand-ins";
import { type TestContext } from "node:test";
import { type MemoryStore } from "./memoryStore.js";
import { renderSignedResponse } from "./testEdge.js";

/** What a stand-in for another gateway does with a request that is handed to it. */
export type FakeGatewayBehavior =
    | { readonly type: "answer"; readonly body: string; }
    /** Runs it, and the connection is lost before the answer. */
    | { readonly type: "lose"; }
    /** The same for the first request of all stand-ins that share it; then it answers. */
    | { readonly type: "loseFirst"; readonly lost: Set<string>; }
    /** Says nothing. */
    | { readonly type: "freeze"; }
    | { readonly type: "verdict"; readonly status: string; readonly verdict: object; }
    /** Of a program that doesn't know handovers. */
    | { readonly type: "unknownPath"; };

/** A stand-in for another gateway, so that a test decides over each of its answers. */
export interface FakeGateway {
    readonly name: string;
    /** Requests that were handed to it. */
    readonly requests: RawRequest[];
    behavior: FakeGatewayBehavior;
}

/** Starts one and registers it. It says that it reaches every service. */
export async function startFakeGateway(
    t: TestContext,
    store: MemoryStore,
    name: string,
    conduct: FakeGatewayBehavior,
): Promise<FakeGateway> {
    const requests: RawRequest[] = [];
    const raw = await startRawBackend(t, req => {
        if (req.path.startsWith("/reach")) {
            const body = JSON.stringify({ reaches: true, named: [] });
            req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
            return;
        }
        if (req.path !== "/handover") {
            req.socket.write("HTTP/1.1 503 Away\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        requests.push(req);
        act(req, helper.behavior);
    });
    const helper: FakeGateway = { name, requests, behavior: conduct };
    store.put(
        `gateways/${name}`,
        JSON.stringify({ availabilityZone: "north", peers: `127.0.0.1:${raw.port}` }),
    );
    return helper;
}

function act(req: RawRequest, conduct: FakeGatewayBehavior): void {
    switch (conduct.type) {
        case "answer": {
            const verdict = JSON.stringify({ type: "answered", version: 1 });
            req.socket.write(renderSignedResponse(req, conduct.body, "200 OK", [`galenaglade-handover: ${verdict}`]));
            return;
        }
        case "verdict": {
            const mark = `galenaglade-handover: ${JSON.stringify(conduct.verdict)}`;
            req.socket.write(`HTTP/1.1 ${conduct.status}\r\ncontent-length: 0\r\n${mark}\r\n\r\n`);
            return;
        }
        case "unknownPath":
            req.socket.write("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n");
            return;
        case "loseFirst":
            act(req, conduct.lost.size === 0 ? { type: "lose" } : { type: "answer", body: "from a helper" });
            conduct.lost.add("first");
            return;
        case "lose":
            req.socket.resetAndDestroy();
            return;
        case "freeze":
    }
}
