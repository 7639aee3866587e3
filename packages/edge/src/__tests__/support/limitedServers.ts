import { RecordedServers } from "./recordedServers.js";
import {
    call,
    type CallerResponse,
    registerServer,
    renderSignedResponse,
    startBackend,
    type TestEdge,
} from "./testEdge.js";

const workMs = 20;

/**
 * Backend servers that announce limits set by the test. Records the requests that they receive and the limits that
 * gateways receive.
 */
export class LimitedServers extends RecordedServers {
    readonly #limits = new Map<string, string>();

    async start(id: string): Promise<void> {
        const backend = await startBackend(this.t, id, req => {
            this.recordStarted(id, req);
            const limit = this.#limits.get(id);
            const headers = [`x-server: ${id}`, ...(limit === undefined ? [] : [`x-limit: ${limit}`])];
            setTimeout(() => req.socket.write(renderSignedResponse(req, id, "200 OK", headers)), workMs);
        });
        registerServer(this.store, backend);
    }

    /** Makes a server announce a limit from now on, or stop announcing one. */
    setLimit(id: string, perSecond: number | undefined): void {
        this.record({ type: "serverLimited", server: id, perSecond });
        if (perSecond === undefined) {
            this.#limits.delete(id);
            return;
        }
        this.#limits.set(id, String(perSecond));
    }

    /** Sends a request through a gateway. */
    async send(edge: TestEdge): Promise<CallerResponse> {
        const requestId = this.createRequestId();
        const gateway = edge.name;
        this.record({
            type: "callerSent",
            requestId,
            service: "tables",
            idempotent: true,
            patienceMs: 8_000,
            gateway,
        });
        const response = await call(edge, `/tables/${requestId}`, { requestId });
        if (response.headers["x-limit"] !== undefined) {
            this.record({ type: "limitPassedOn", gateway, server: String(response.headers["x-server"]) });
        }
        return response;
    }

    /** @returns the number of requests that a server received in a period */
    countRequests(id: string, fromMs: number, toMs = Infinity): number {
        return this.history.filter(line =>
            line.type === "serverStarted" && line.server === id && line.atMs >= fromMs && line.atMs < toMs
        ).length;
    }
}
