import { type HistoryRecorder } from "@galenaglade/stand-ins";
import { type RandomSource } from "@galenaglade/routing";
import { Agent } from "undici";
import { heldSlackMs, patienceMs, routeTimeoutMs } from "./constants.js";
import { authority, pathOf, type SoakRoute } from "./soakConfiguration.js";
import { type SoakSystem } from "./soakSystem.js";
import { machineNow } from "./spans.js";

/** Statuses that promise that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const okStatus = 200;
const connectTimeoutMs = 1_000;
/** A caller that hangs up does so within this time. */
const hangUpMs = 60;

/** Share of the requests that are sent on a connection of their own. */
const freshShare = 0.3;

/** What came back. */
interface Received {
    /** `undefined` where no answer came. */
    readonly status: number | undefined;
    readonly retryAfter: string | undefined;
    /** Whether the caller could connect at all. */
    readonly connected: boolean;
}

/** How one request ended for its caller. */
export interface CallerEnd extends Received {
    readonly requestId: string;
    readonly route: SoakRoute;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Whether it left early. */
    readonly hungUp: boolean;
    /** Whether it waited in vain. */
    readonly gaveUp: boolean;
}

/** Sends requests to one life of one gateway over kept and over new connections, and records what came of each. */
export class SoakCaller {
    readonly #gateway: string;
    readonly #url: string;
    readonly #system: SoakSystem;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #kept = new Agent({ connections: 8, connect: { timeout: connectTimeoutMs } });
    readonly #ends: CallerEnd[] = [];

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

    get ends(): readonly CallerEnd[] {
        return this.#ends;
    }

    /**
     * Sends one request and waits for its end, which it never fails.
     *
     * @param hangsUp - whether it leaves early
     * @param path - what it asks; by itself something that no other request asks
     */
    async send(requestId: string, route: SoakRoute, hangsUp: boolean, path?: string): Promise<void> {
        const fresh = this.#random.next() < freshShare;
        const agent = fresh ? new Agent({ connect: { timeout: connectTimeoutMs } }) : this.#kept;
        const givesUp = new AbortController();
        // Past its patience and what is allowed beyond it: whoever is silent for so long holds the request.
        const waitMs = hangsUp ? this.#random.next() * hangUpMs : routeTimeoutMs + heldSlackMs;
        const timer = setTimeout(() => givesUp.abort(), waitMs);
        const sentAtMs = machineNow();
        const got = await this.#request(agent, requestId, route, givesUp.signal, path);
        clearTimeout(timer);
        this.#ends.push({
            ...got,
            requestId,
            route,
            sentAtMs,
            endedAtMs: machineNow(),
            hungUp: hangsUp,
            gaveUp: givesUp.signal.aborted && !hangsUp,
        });
        if (fresh) {
            await agent.destroy();
        }
    }

    async close(): Promise<void> {
        await this.#kept.destroy();
    }

    async #request(
        agent: Agent,
        requestId: string,
        route: SoakRoute,
        signal: AbortSignal,
        path?: string,
    ): Promise<Received> {
        const idempotent = route !== "file";
        this.#history.record({
            type: "callerSent",
            requestId,
            service: route,
            idempotent,
            contentId: path,
            gateway: this.#gateway,
            patienceMs,
        });
        try {
            const res = await agent.request({
                origin: this.#url,
                method: idempotent ? "GET" : "POST",
                path: path ?? `${pathOf[route]}${requestId}`,
                headers: { host: authority, ...this.#system.renderRequest(requestId, patienceMs) },
                body: idempotent ? null : `return ${requestId}`,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const body = await res.body.text();
            this.#recordAnswer(requestId, res.statusCode, res.headers, body);
            const retryAfter = readText(res.headers["retry-after"]);
            return { status: res.statusCode, retryAfter, connected: true };
        }
        catch (err) {
            this.#history.record({ type: signal.aborted ? "callerGaveUp" : "callerCutOff", requestId });
            return { status: undefined, retryAfter: undefined, connected: !isConnectFailure(err) };
        }
    }

    #recordAnswer(
        requestId: string,
        status: number,
        headers: Readonly<Record<string, string | readonly string[] | undefined>>,
        body: string,
    ): void {
        const marks = this.#system.readAnswer(headers);
        const own = status === okStatus ? findRequestId(body) : undefined;
        const server = status === okStatus ? findServer(body) : undefined;
        if (marks.limited && server !== undefined) {
            this.#history.record({ type: "limitPassedOn", gateway: this.#gateway, server });
        }
        if (marks.leaving && server !== undefined) {
            this.#history.record({ type: "leavingPassedOn", gateway: this.#gateway, server });
        }
        this.#history.record({
            type: "callerAnswered",
            requestId,
            status,
            didRun: notRunStatuses.has(status) ? "no" : undefined,
            whole: status !== okStatus || (marks.signed && marks.requestId === requestId && own !== undefined),
            bodyRequestId: own,
        });
    }
}

/** @returns whose answer a body is; `undefined` for a body that is not whole */
function findRequestId(body: string): string | undefined {
    return readBody(body)?.requestId;
}

/** @returns the server that made a body; `undefined` for a body that is not whole */
function findServer(body: string): string | undefined {
    return readBody(body)?.server;
}

function readBody(body: string): { readonly requestId: string; readonly server: string; } | undefined {
    try {
        return JSON.parse(body) as { readonly requestId: string; readonly server: string; };
    }
    catch {
        return undefined;
    }
}

function isConnectFailure(err: unknown): boolean {
    const { code } = err as { readonly code?: string; };
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

function readText(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}
