import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type HistoryRecorder } from "@galenaglade/stand-ins";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { maxServerQueue, serverSlots, typicalWorkMs } from "./constants.js";
import { queryOfDeathMarker } from "./queryOfDeathPlan.js";
import { parseResponseBytes } from "./largeResponses.js";
import { type ReceivedRequest, type ServerCodec, type ServerState } from "./serverCodec.js";
import { type SoakServerOptions, type ServerFaults, noServerFaults } from "./soakSystem.js";
import { secretPrefix } from "./workspacePlan.js";

/** Share of the requests that a failing server fails and a shedding one rejects, and that a corrupting one corrupts. */
const troubleShare = 0.5;
const spoilShare = 0.2;
/** Factor of the processing time while a server is cold. */
const coldSlowdown = 2;
/** How long a server runs a query of death before it crashes, in milliseconds. */
const crashMs = 15;
/** Delay of a duplicate response after the original one, in milliseconds. */
const extraAnswerMs = 30;

/** How a response is corrupted. */
const spoilings = ["lost", "cut", "doubled", "unsigned"] as const;
type Spoiling = typeof spoilings[number];

/**
 * A fake backend server with slots, a short queue, load reports and cold starts. Injects faults on command and records
 * its requests.
 */
export class SoakServer {
    readonly #order: SoakServerOptions;
    readonly #names: ServerCodec;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #queue: (() => void)[] = [];
    #trouble: ServerFaults = noServerFaults;
    #coldUntilMs = -Infinity;
    #running = 0;

    constructor(order: SoakServerOptions, names: ServerCodec, history: HistoryRecorder) {
        this.#order = order;
        this.#names = names;
        this.#history = history;
        this.#random = createRandomSource(order.seed);
    }

    /** @returns an HTTP server that isn't listening yet */
    createServer(): Server {
        return createServer((req, res) => void this.#handle(req, res));
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await text(req);
        if (req.url === "/control") {
            this.#setTrouble({ ...noServerFaults, ...JSON.parse(body) as ServerFaults });
            this.#coldUntilMs = Math.max(this.#coldUntilMs, performance.now() + this.#trouble.coldMs);
            res.end();
            return;
        }
        if (req.url === this.#names.healthPath) {
            this.#history.record({ type: "serverProbed", server: this.#order.id, gateway: "" });
            const headers = { ...this.#names.renderState(this.#state()), ...this.#renderLeaving() };
            res.writeHead(this.#trouble.leaves ? 503 : 200, headers).end();
            return;
        }
        await this.#serve(req, res);
    }

    async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const request = this.#names.readRequest(req.headers);
        const { requestId, expectedServer } = request;
        const url = req.url ?? "";
        // Detects keys under any header name by their prefix.
        const keyPassedOn = request.hasKey || JSON.stringify([url, req.rawHeaders]).includes(secretPrefix);
        if (expectedServer !== undefined && expectedServer !== this.#order.id) {
            res.writeHead(421, this.#names.renderState(this.#state())).end();
            return;
        }
        const sheds = this.#trouble.restSeconds !== undefined
            || (this.#trouble.sheds && this.#random.next() < troubleShare);
        if (sheds || this.#queue.length >= maxServerQueue || !await this.#getSlot(res, request.remainingMs)) {
            this.#turnAway(requestId, keyPassedOn, res);
            return;
        }
        this.#recordStart(request, keyPassedOn);
        if (url.includes(queryOfDeathMarker)) {
            setTimeout(() => this.#crash(requestId), crashMs);
        }
        const done = await this.#work(res, request.remainingMs);
        this.#running--;
        this.#queue.shift()?.();
        this.#history.record({
            type: "serverEnded",
            requestId,
            server: this.#order.id,
            incarnation: this.#order.id,
        });
        if (done) {
            this.#answer(requestId, parseResponseBytes(url), res);
        }
    }

    #crash(requestId: string): void {
        this.#history.record({ type: "serverCrashed", requestId, server: this.#order.id });
        process.exit(1);
    }

    /** @returns whether a slot became available before the deadline and before the gateway disconnected */
    async #getSlot(res: ServerResponse, remainingMs: number): Promise<boolean> {
        if (this.#running < serverSlots) {
            this.#running++;
            return true;
        }
        return new Promise(resolve => {
            const start = (): void => {
                clearTimeout(timer);
                this.#running++;
                resolve(true);
            };
            const giveUp = (): void => {
                const at = this.#queue.indexOf(start);
                if (at >= 0) {
                    this.#queue.splice(at, 1);
                    clearTimeout(timer);
                    resolve(false);
                }
            };
            const timer = setTimeout(giveUp, remainingMs);
            this.#queue.push(start);
            res.once("close", giveUp);
        });
    }

    /** @returns whether the work finished before the deadline, with the gateway still connected */
    #work(res: ServerResponse, remainingMs: number): Promise<boolean> {
        const cold = this.#isCold() ? coldSlowdown : 1;
        const tookMs = typicalWorkMs * (0.5 + this.#random.next()) * this.#trouble.slowdown * cold;
        return new Promise(resolve => {
            const timer = setTimeout(
                () => resolve(!res.destroyed && tookMs <= remainingMs),
                Math.min(tookMs, remainingMs),
            );
            res.once("close", () => {
                clearTimeout(timer);
                resolve(false);
            });
        });
    }

    #answer(requestId: string, paddingBytes: number, res: ServerResponse): void {
        const body = JSON.stringify({ requestId, server: this.#order.id, padding: "x".repeat(paddingBytes) });
        if (this.#trouble.fails && this.#random.next() < troubleShare) {
            res.writeHead(500, { ...this.#names.renderDidRun(requestId, true), ...this.#renderNotices() }).end(
                "failed",
            );
            return;
        }
        const spoiling = this.#drawSpoiling();
        if (spoiling !== undefined) {
            this.#history.record({ type: "serverSpoilt", requestId, server: this.#order.id });
        }
        if (spoiling === "lost") {
            res.socket?.destroy();
            return;
        }
        const headers = {
            ...this.#names.renderDidRun(requestId, spoiling !== "unsigned"),
            ...this.#renderNotices(),
            "content-length": body.length,
        };
        res.writeHead(200, headers);
        if (spoiling === "cut") {
            const { socket } = res;
            res.write(body.slice(0, body.length / 2), () => socket?.destroy());
            return;
        }
        const { socket } = res;
        res.end(body);
        if (spoiling === "doubled") {
            const names = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
            const extra = ["HTTP/1.1 200 OK", ...names, "", body].join("\r\n");
            setTimeout(() => socket?.write(extra), extraAnswerMs);
        }
    }

    #drawSpoiling(): Spoiling | undefined {
        if (!this.#trouble.spoils || this.#random.next() >= spoilShare) {
            return undefined;
        }
        return spoilings[this.#random.nextInt(spoilings.length)];
    }

    #turnAway(requestId: string, keyPassedOn: boolean, res: ServerResponse): void {
        const { restSeconds } = this.#trouble;
        this.#history.record({
            type: "serverTurnedAway",
            requestId,
            server: this.#order.id,
            availabilityZone: this.#order.availabilityZone,
            cold: this.#isCold(),
            restMs: restSeconds === undefined ? undefined : restSeconds * 1_000,
            keyPassedOn,
        });
        if (!res.destroyed) {
            const rest = restSeconds === undefined ? {} : this.#names.renderBackoff(restSeconds);
            res.writeHead(503, { ...this.#names.renderDidNotRun(requestId), ...rest, ...this.#renderNotices() }).end();
        }
    }

    #recordStart({ requestId, workspace }: ReceivedRequest, keyPassedOn: boolean): void {
        this.#history.record({
            type: "serverStarted",
            requestId,
            server: this.#order.id,
            availabilityZone: this.#order.availabilityZone,
            incarnation: this.#order.id,
            cold: this.#isCold(),
            inFlight: this.#running,
            bears: serverSlots,
            workspace,
            keyPassedOn,
        });
    }

    #setTrouble(trouble: ServerFaults): void {
        const { limitPerSecond } = trouble;
        if (limitPerSecond !== this.#trouble.limitPerSecond) {
            this.#history.record({ type: "serverLimited", server: this.#order.id, perSecond: limitPerSecond });
        }
        this.#trouble = trouble;
    }

    #renderNotices(): Readonly<Record<string, string>> {
        const { limitPerSecond } = this.#trouble;
        const limit = limitPerSecond === undefined ? {} : this.#names.renderLimit(limitPerSecond);
        return { ...limit, ...this.#renderLeaving() };
    }

    #renderLeaving(): Readonly<Record<string, string>> {
        return this.#trouble.saysLeaving ? this.#names.renderLeaving() : {};
    }

    #isCold(): boolean {
        return performance.now() < this.#coldUntilMs;
    }

    #state(): ServerState {
        return {
            id: this.#order.id,
            running: this.#running,
            waiting: this.#queue.length,
            slots: serverSlots,
            slowdown: this.#trouble.slowdown,
            coldRemainingMs: Math.max(0, this.#coldUntilMs - performance.now()),
        };
    }
}
