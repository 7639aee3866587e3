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

/** How one request ended for its caller. */
export interface CallerEnd {
    readonly requestId: string;
    readonly route: SoakRoute;
    /** `undefined` where no answer came. */
    readonly status: number | undefined;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Whether the caller could connect at all. */
    readonly connected: boolean;
    /** Whether it left early. */
    readonly hungUp: boolean;
    /** Whether it waited in vain. */
    readonly gaveUp: boolean;
    readonly retryAfter: string | undefined;
}

/** Sends requests to one life of one gateway over kept and over new connections, and records what came of each. */
export class SoakCaller {
    readonly #url: string;
    readonly #system: SoakSystem;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #kept = new Agent({ connections: 8, connect: { timeout: connectTimeoutMs } });
    readonly #ends: CallerEnd[] = [];

    constructor(url: string, system: SoakSystem, history: HistoryRecorder, random: RandomSource) {
        this.#url = url;
        this.#system = system;
        this.#history = history;
        this.#random = random;
    }

    get ends(): readonly CallerEnd[] {
        return this.#ends;
    }

    /** Sends one request and waits for its end, which it never fails. @param hangsUp - whether it leaves early */
    async send(requestId: string, route: SoakRoute, hangsUp: boolean): Promise<void> {
        const idempotent = route !== "file";
        const fresh = this.#random.next() < 0.3;
        const agent = fresh ? new Agent({ connect: { timeout: connectTimeoutMs } }) : this.#kept;
        const givesUp = new AbortController();
        // Past its patience and what is allowed beyond it: whoever is silent for so long holds the request.
        const waitMs = hangsUp ? this.#random.next() * hangUpMs : routeTimeoutMs + heldSlackMs;
        const timer = setTimeout(() => givesUp.abort(), waitMs);
        const sentAtMs = machineNow();
        this.#history.record({ type: "callerSent", requestId, service: route, idempotent, patienceMs });
        let status: number | undefined;
        let retryAfter: string | undefined;
        let connected = true;
        try {
            const res = await agent.request({
                origin: this.#url,
                method: idempotent ? "GET" : "POST",
                path: `${pathOf[route]}${requestId}`,
                headers: { host: authority, ...this.#system.renderRequest(requestId, patienceMs) },
                body: idempotent ? null : `return ${requestId}`,
                signal: givesUp.signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const body = await res.body.text();
            status = res.statusCode;
            retryAfter = readText(res.headers["retry-after"]);
            const marks = this.#system.readAnswer(res.headers);
            const own = status === okStatus ? findRequestId(body) : undefined;
            this.#history.record({
                type: "callerAnswered",
                requestId,
                status,
                didRun: notRunStatuses.has(status) ? "no" : undefined,
                whole: status !== okStatus || (marks.signed && marks.requestId === requestId && own !== undefined),
                bodyRequestId: own,
            });
        }
        catch (err) {
            connected = !isConnectFailure(err);
            this.#history.record({ type: givesUp.signal.aborted ? "callerGaveUp" : "callerCutOff", requestId });
        }
        clearTimeout(timer);
        this.#ends.push({
            requestId,
            route,
            status,
            sentAtMs,
            endedAtMs: machineNow(),
            connected,
            hungUp: hangsUp,
            gaveUp: givesUp.signal.aborted && !hangsUp,
            retryAfter,
        });
        if (fresh) {
            await agent.destroy();
        }
    }

    async close(): Promise<void> {
        await this.#kept.destroy();
    }
}

/** @returns whose answer a body is; `undefined` for a body that is not whole */
function findRequestId(body: string): string | undefined {
    try {
        return (JSON.parse(body) as { readonly requestId: string; }).requestId;
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
