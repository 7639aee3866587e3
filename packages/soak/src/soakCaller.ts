import { type HistoryRecorder, KeptCaller, type KeptRequest } from "@galenaglade/stand-ins";
import { resetConnection } from "@galenaglade/http-parts";
import { type RandomSource } from "@galenaglade/routing";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { createCallerConnector } from "./createCallerConnector.js";
import { createConnection, type Socket } from "node:net";
import { type PlannedLeavingCaller } from "./leavingCallerPlan.js";
import { type PlannedLongRequest } from "./longRequestPlan.js";
import { type CallerCredentials } from "./requestGenerator.js";
import { judgeResponse, type ReceivedResponse } from "./receivedResponse.js";
import { renderBulkPath } from "./requestedWork.js";
import { hangToleranceMs, patienceMs, routeTimeoutMs } from "./constants.js";
import { authority, routePathPrefixes, type SoakRoute } from "./soakConfiguration.js";
import { type SoakSystem } from "./soakSystem.js";
import { monotonicNow } from "./faultWindows.js";

const connectTimeoutMs = 1_000;
/** Maximum time after which a caller that disconnects early does so. */
const maxDisconnectDelayMs = 60;

/** Share of the requests that are sent on new connections. */
const newConnectionShare = 0.3;

const connect = createCallerConnector(connectTimeoutMs);

/** The response to a request, if any. */
interface ResponseResult {
    /** `undefined` if no complete response arrived. */
    readonly status: number | undefined;
    readonly retryAfter: string | undefined;
    /** Whether a connection was established. */
    readonly connected: boolean;
    /** Whether a response began, but was not completed. */
    readonly truncated: boolean;
}

/** The outcome of a request for its caller. */
export interface RequestOutcome extends ResponseResult {
    readonly requestId: string;
    readonly route: SoakRoute;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Whether the caller disconnected early. */
    readonly disconnectedEarly: boolean;
    /** Whether the caller's time ran out. */
    readonly timedOut: boolean;
}

/** A request of a caller. */
export interface CallerRequest {
    readonly requestId: string;
    readonly route: SoakRoute;
    /** Whether the caller disconnects before a response is likely. */
    readonly disconnectsEarly: boolean;
    /** Absent in runs without workspaces. */
    readonly credentials?: CallerCredentials | undefined;
    /** Path of the request. Default: one that no other request has. */
    readonly path?: string | undefined;
    /** Identifies requests with the same content; absent if no other request has it. */
    readonly contentId?: string | undefined;
}

/** Sends requests to one incarnation of a gateway over pooled and over new connections, and records their outcomes. */
export class SoakCaller {
    readonly #gateway: string;
    readonly #url: string;
    readonly #system: SoakSystem;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #pool = new Agent({ connections: 8, connect });
    readonly #outcomes: RequestOutcome[] = [];

    constructor(
        gateway: string,
        url: string,
        system: SoakSystem,
        history: HistoryRecorder,
        random: RandomSource,
    ) {
        this.#gateway = gateway;
        this.#url = url;
        this.#system = system;
        this.#history = history;
        this.#random = random;
    }

    get outcomes(): readonly RequestOutcome[] {
        return this.#outcomes;
    }

    /** Sends a request and records its outcome. Never rejects. */
    async send(request: CallerRequest): Promise<void> {
        const { requestId, route, disconnectsEarly } = request;
        const usesNewConnection = this.#random.next() < newConnectionShare;
        const agent = usesNewConnection ? new Agent({ connect }) : this.#pool;
        const abortController = new AbortController();
        // Beyond the caller's patience and a tolerance: without a response by then, the request counts as hanging.
        const waitMs = disconnectsEarly ? this.#random.next() * maxDisconnectDelayMs : routeTimeoutMs + hangToleranceMs;
        const timer = setTimeout(() => abortController.abort(), waitMs);
        const sentAtMs = monotonicNow();
        const result = await this.#request(agent, request, abortController.signal);
        clearTimeout(timer);
        this.#outcomes.push({
            ...result,
            requestId,
            route,
            sentAtMs,
            endedAtMs: monotonicNow(),
            disconnectedEarly: disconnectsEarly,
            timedOut: abortController.signal.aborted && !disconnectsEarly,
        });
        if (usesNewConnection) {
            await agent.destroy();
        }
    }

    /**
     * Sends a long request on a connection of its own, and short ones behind it while that connection is open. Never
     * rejects.
     */
    async sendLong(
        requestId: string,
        { bodyBytes, firstBytes, pauseMs, followers }: PlannedLongRequest,
        credentials: CallerCredentials | undefined,
    ): Promise<void> {
        const caller = await KeptCaller.open(Number(new URL(this.#url).port)).catch(() => undefined);
        if (caller === undefined) {
            return;
        }
        const body = Buffer.alloc(bodyBytes, "r");
        let isKept = await this.#sendKept(caller, requestId, { body, firstBytes, pauseMs }, credentials);
        for (let i = 0; i < followers && isKept; i++) {
            isKept = await this.#sendKept(caller, `${requestId}-${i}`, { body: Buffer.from("short") }, credentials);
        }
        caller.close();
    }

    /** Sends requests one behind the other on a connection of their own, and leaves before they are answered. */
    async sendAndLeave(
        name: string,
        { requests, idempotent, workMs, bodyBytes, leavesAfterMs, way }: PlannedLeavingCaller,
        credentials: CallerCredentials | undefined,
    ): Promise<void> {
        const socket = await openSocket(Number(new URL(this.#url).port));
        if (socket === undefined) {
            return;
        }
        const route = idempotent ? "bulk" : "file";
        const requestIds = Array.from({ length: requests }, (_, i) => `${name}-${i}`);
        for (const requestId of requestIds) {
            this.#recordSent({ requestId, route, credentials, disconnectsEarly: true });
            const bytes = requestId === requestIds.at(-1) ? bodyBytes : 0;
            const method = idempotent && bytes === 0 ? "GET" : "POST";
            const lines = Object.entries({
                "host": authority,
                "content-length": String(bytes),
                ...this.#system.renderRequestHeaders(requestId, patienceMs, credentials),
            });
            const path = renderBulkPath(route, requestId, workMs, 0);
            const head = [`${method} ${path} HTTP/1.1`, ...lines.map(line => line.join(": "))];
            socket.write([...head, "", ""].join("\r\n"));
        }
        socket.write(Buffer.alloc(bodyBytes, "r"));
        if (leavesAfterMs > 0) {
            await sleep(leavesAfterMs);
        }
        for (const requestId of requestIds) {
            this.#history.record({ type: "callerLeft", requestId });
        }
        leave(socket, way);
    }

    /** @returns whether the connection stays open for further requests */
    async #sendKept(
        caller: KeptCaller,
        requestId: string,
        body: Pick<KeptRequest, "body" | "firstBytes" | "pauseMs">,
        credentials: CallerCredentials | undefined,
    ): Promise<boolean> {
        const route = "file";
        this.#recordSent({ requestId, route, credentials, disconnectsEarly: false });
        const headers = Object.entries({
            host: authority,
            ...this.#system.renderRequestHeaders(requestId, patienceMs, credentials),
        });
        const path = `${routePathPrefixes[route]}${requestId}`;
        const sentAtMs = monotonicNow();
        const result = await caller.send({
            ...body,
            path,
            headers: headers.map(([name, value]) => `${name}: ${value}`),
            timeoutMs: routeTimeoutMs + hangToleranceMs,
        });
        const response = result.type === "answered" ? result.response : undefined;
        if (response === undefined) {
            this.#history.record({ type: result.type === "closed" ? "callerCutOff" : "callerGaveUp", requestId });
        }
        else {
            this.#recordResponse({ ...response, requestId, path });
        }
        this.#outcomes.push({
            status: response?.status,
            retryAfter: response?.headers["retry-after"],
            connected: true,
            truncated: false,
            requestId,
            route,
            sentAtMs,
            endedAtMs: monotonicNow(),
            disconnectedEarly: false,
            timedOut: result.type === "unanswered",
        });
        return response !== undefined && !response.closes;
    }

    async close(): Promise<void> {
        await this.#pool.destroy();
    }

    #recordSent({ requestId, route, credentials, contentId }: CallerRequest): void {
        this.#history.record({
            type: "callerSent",
            requestId,
            service: route,
            idempotent: route !== "file",
            contentId,
            gateway: this.#gateway,
            patienceMs,
            keyId: credentials?.key?.id,
            open: route === "open",
        });
    }

    async #request(agent: Agent, request: CallerRequest, signal: AbortSignal): Promise<ResponseResult> {
        const { requestId, route, credentials, path = `${routePathPrefixes[route]}${requestId}` } = request;
        const idempotent = route !== "file";
        this.#recordSent(request);
        let hasBegun = false;
        try {
            const res = await agent.request({
                origin: this.#url,
                method: idempotent ? "GET" : "POST",
                path,
                headers: { host: authority, ...this.#system.renderRequestHeaders(requestId, patienceMs, credentials) },
                body: idempotent ? null : `return ${requestId}`,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            hasBegun = true;
            const body = await res.body.text();
            this.#recordResponse({ requestId, path, status: res.statusCode, headers: res.headers, body });
            const retryAfter = readText(res.headers["retry-after"]);
            return { status: res.statusCode, retryAfter, connected: true, truncated: false };
        }
        catch (err) {
            this.#history.record({ type: signal.aborted ? "callerGaveUp" : "callerCutOff", requestId });
            const connected = !isConnectFailure(err);
            return { status: undefined, retryAfter: undefined, connected, truncated: hasBegun };
        }
    }

    #recordResponse(response: ReceivedResponse): void {
        const { event, metadata } = judgeResponse(this.#system, response);
        const server = event.run?.server;
        if (metadata.hasLimit && server !== undefined) {
            this.#history.record({ type: "limitPassedOn", gateway: this.#gateway, server });
        }
        if (metadata.leaving && server !== undefined) {
            this.#history.record({ type: "leavingPassedOn", gateway: this.#gateway, server });
        }
        this.#history.record(event);
    }
}

/** @returns a connected socket; `undefined` if nothing accepts the connection */
function openSocket(port: number): Promise<Socket | undefined> {
    return new Promise(resolve => {
        const socket = createConnection({ port, host: "127.0.0.1", noDelay: true });
        socket.once("connect", () => resolve(socket));
        socket.on("error", () => resolve(undefined));
        socket.resume();
    });
}

function leave(socket: Socket, way: PlannedLeavingCaller["way"]): void {
    switch (way) {
        case "closed":
            socket.destroy();
            break;
        case "reset":
            resetConnection(socket, "fault");
            break;
        case "closedForWriting":
            socket.end();
    }
}

function isConnectFailure(err: unknown): boolean {
    const { code } = err as { readonly code?: string; };
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

function readText(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}
