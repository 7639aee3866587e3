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
const restartDelayMs = 400;

/** Paths of requests that crash the server that runs them: an idempotent and a non-idempotent one. */
export const crashPath = "/tables/deadly";
export const crashReturnPath = "/returns/deadly";

/** Backend servers that crash on these paths and are replaced, with the history of the requests sent and run. */
export class CrashingServers extends RecordedServers {
    /** Whether requests on these paths crash servers. */
    crashesEnabled = true;
    #started = 0;
    #stopped = false;

    constructor(t: TestContext, store: MemoryStore) {
        super(t, store);
        t.after(() => {
            this.#stopped = true;
        });
    }

    /** Number of servers that have crashed. */
    get crashCount(): number {
        return this.history.filter(({ type }) => type === "serverCrashed").length;
    }

    /** Starts and registers one more server. */
    async start(): Promise<void> {
        const id = `server-${++this.#started}`;
        const backend = await startBackend(this.t, id, req => {
            this.recordStarted(id, req);
            if (this.crashesEnabled && (req.path === crashPath || req.path === crashReturnPath)) {
                void this.#crash(id, req, () => backend.raw.stop());
                return;
            }
            req.socket.write(renderSignedResponse(req, "a table"));
        });
        registerServer(this.store, backend);
    }

    /** Sends a request and records it in the history. */
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

    async #crash(id: string, req: RawRequest, stop: () => Promise<void>): Promise<void> {
        await sleep(runMs);
        this.record({ type: "serverCrashed", requestId: req.headers.get("x-id") ?? "", server: id });
        await stop();
        await sleep(restartDelayMs);
        if (!this.#stopped) {
            this.store.remove(`servers/${id}`);
            await this.start();
        }
    }
}
