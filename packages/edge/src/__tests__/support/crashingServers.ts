import { type RawRequest } from "@galenaglade/stand-ins";
import { type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type MemoryStore } from "./memoryStore.js";
import { RecordedServers } from "./recordedServers.js";
import {
    call,
    type CallerResponse,
    registerServer,
    renderSignedResponse,
    startBackend,
    type TestEdge,
} from "./testEdge.js";

const runMs = 30;
const backAfterMs = 400;

/** Paths under which a request ends the server that runs it. */
export const crashPath = "/tables/deadly";
export const crashReturnPath = "/returns/deadly";

/** Backend servers that end under the deadly path and are replaced, and the history of what callers sent and servers ran. */
export class CrashingServers extends RecordedServers {
    /** Whether the deadly paths end servers. */
    crashesEnabled = true;
    #started = 0;
    #stopped = false;

    constructor(t: TestContext, store: MemoryStore) {
        super(t, store);
        t.after(() => {
            this.#stopped = true;
        });
    }

    /** Servers that have ended. */
    get crashCount(): number {
        return this.history.filter(({ type }) => type === "serverCrashed").length;
    }

    /** Starts one more server and registers it. */
    async start(): Promise<void> {
        const id = `server-${++this.#started}`;
        const backend = await startBackend(this.t, id, req => {
            this.recordStarted(id, req);
            if (this.crashesEnabled && (req.path === crashPath || req.path === crashReturnPath)) {
                void this.#end(id, req, () => backend.raw.stop());
                return;
            }
            req.socket.write(renderSignedResponse(req, "a table"));
        });
        registerServer(this.store, backend);
    }

    /** Sends a request, and records it. */
    async send(edge: TestEdge, path: string, body?: string): Promise<CallerResponse> {
        const requestId = this.createRequestId();
        const contentId = `${path} ${body ?? ""}`;
        const idempotent = body === undefined;
        this.record({ type: "callerSent", requestId, service: "tables", idempotent, contentId, patienceMs: 8_000 });
        const got = await call(edge, path, { requestId, ...(body === undefined ? {} : { method: "POST", body }) });
        this.record({
            type: "callerAnswered",
            requestId,
            status: got.status,
            didRun: got.status === 503 ? "no" : undefined,
            whole: got.status === 200,
            bodyRequestId: undefined,
        });
        return got;
    }

    async #end(id: string, req: RawRequest, stop: () => Promise<void>): Promise<void> {
        await sleep(runMs);
        this.record({ type: "serverCrashed", requestId: req.headers.get("x-id") ?? "", server: id });
        await stop();
        await sleep(backAfterMs);
        if (!this.#stopped) {
            this.store.remove(`servers/${id}`);
            await this.start();
        }
    }
}
