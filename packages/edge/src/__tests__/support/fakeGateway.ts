import { type RawRequest, startRawBackend } from "@galenaglade/stand-ins";
import { type TestContext } from "node:test";
import { type MemoryStore } from "./memoryStore.js";
import { renderSignedResponse } from "./testEdge.js";

/** How a fake gateway handles a request that is handed over to it. */
export type FakeGatewayBehavior =
    | { readonly type: "answer"; readonly body: string; }
    /** Writes its response itself. */
    | { readonly type: "custom"; readonly respond: (req: RawRequest) => void; }
    /** Runs the request, and resets the connection before the response. */
    | { readonly type: "lose"; }
    /** Like `lose` for the first request among all fake gateways that share the set; responds to the others. */
    | { readonly type: "loseFirst"; readonly lost: Set<string>; }
    /** Never responds. */
    | { readonly type: "freeze"; }
    /** Behaves in one way for the first request among all fake gateways that share the set, in another one after it. */
    | {
        readonly type: "afterFirst";
        readonly first: FakeGatewayBehavior;
        readonly then: FakeGatewayBehavior;
        readonly seen: Set<string>;
    }
    | { readonly type: "verdict"; readonly status: string; readonly verdict: object; }
    /** Behaves like an older version without handovers. */
    | { readonly type: "unknownPath"; };

/** Fake of another gateway, whose responses a test controls. */
export interface FakeGateway {
    readonly name: string;
    /** Requests that were handed over to it. */
    readonly requests: RawRequest[];
    behavior: FakeGatewayBehavior;
}

/** Starts and registers a fake gateway, which reports that it reaches every service. */
export async function startFakeGateway(
    t: TestContext,
    store: MemoryStore,
    name: string,
    behavior: FakeGatewayBehavior,
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
        act(req, gateway.behavior);
    });
    const gateway: FakeGateway = { name, requests, behavior: behavior };
    store.put(
        `gateways/${name}`,
        JSON.stringify({ availabilityZone: "north", peers: `127.0.0.1:${raw.port}` }),
    );
    return gateway;
}

function act(req: RawRequest, behavior: FakeGatewayBehavior): void {
    switch (behavior.type) {
        case "answer": {
            const verdict = JSON.stringify({ type: "answered", version: 1 });
            req.socket.write(renderSignedResponse(req, behavior.body, "200 OK", [`galenaglade-handover: ${verdict}`]));
            return;
        }
        case "custom":
            behavior.respond(req);
            return;
        case "verdict": {
            const headerLine = `galenaglade-handover: ${JSON.stringify(behavior.verdict)}`;
            req.socket.write(`HTTP/1.1 ${behavior.status}\r\ncontent-length: 0\r\n${headerLine}\r\n\r\n`);
            return;
        }
        case "unknownPath":
            req.socket.write("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n");
            return;
        case "loseFirst":
            act(req, behavior.lost.size === 0 ? { type: "lose" } : { type: "answer", body: "from a fake gateway" });
            behavior.lost.add("first");
            return;
        case "afterFirst":
            act(req, behavior.seen.size === 0 ? behavior.first : behavior.then);
            behavior.seen.add("first");
            return;
        case "lose":
            req.socket.resetAndDestroy();
            return;
        case "freeze":
    }
}
