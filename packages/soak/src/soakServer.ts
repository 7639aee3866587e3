import { isBroken, sendGarbled } from "./garbledResponses.js";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type HistoryRecorder } from "@galenaglade/stand-ins";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import { maxServerQueue, serverSlots, typicalWorkMs } from "./constants.js";
import { queryOfDeathMarker } from "./queryOfDeathPlan.js";
import { parseResponseBytes, parseWorkMs } from "./requestedWork.js";
import { renderResponseBody } from "./responseBody.js";
import { type ReceivedRequest, type ServerCodec, type ServerState } from "./serverCodec.js";
import { type SoakServerOptions, type ServerFaults, noServerFaults } from "./soakSystem.js";
import { secretPrefix } from "./workspacePlan.js";

/** Share of the requests that a failing server fails and a shedding one rejects, and that a corrupting one corrupts. */
const faultShare = 0.5;
const corruptionShare = 0.2;
/** Factor of the processing time while a server is cold. */
const coldSlowdown = 2;
/** How long a server runs a query of death before it crashes, in milliseconds. */
const crashDelayMs = 15;
/** Delay of a duplicate response after the original one, in milliseconds. */
const duplicateDelayMs = 30;

/** How a response is corrupted. */
const corruptions = ["lost", "cut", "doubled", "unsigned"] as const;
type Corruption = typeof corruptions[number];

/**
 * A fake backend server with slots, a short queue, load reports and cold starts. Injects faults on command and records
 * its requests.
 */
export class SoakServer {
    readonly #options: SoakServerOptions;
    readonly #codec: ServerCodec;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #queue: (() => void)[] = [];
    #faults: ServerFaults = noServerFaults;
    #coldUntilMs = -Infinity;
    #runs = 0;
    #running = 0;

    constructor(options: SoakServerOptions, codec: ServerCodec, history: HistoryRecorder) {
        this.#options = options;
        this.#codec = codec;
        this.#history = history;
        this.#random = createRandomSource(options.seed);
    }

    /** @returns an HTTP server that isn't listening yet */
    createServer(): Server {
        return createServer((req, res) => void this.#handle(req, res));
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await text(req);
        if (req.url === "/control") {
            this.#setFaults({ ...noServerFaults, ...JSON.parse(body) as ServerFaults });
            this.#coldUntilMs = Math.max(this.#coldUntilMs, performance.now() + this.#faults.coldMs);
            res.end();
            return;
        }
        if (req.url === this.#codec.healthPath) {
            this.#history.record({ type: "serverProbed", server: this.#options.id, gateway: "" });
            const headers = { ...this.#codec.renderState(this.#state()), ...this.#renderLeaving() };
            res.writeHead(this.#faults.leaves ? 503 : 200, headers).end();
            return;
        }
        await this.#serve(req, res);
    }

    async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const request = this.#codec.parseRequestHeaders(req.headers);
        const { requestId, expectedServer } = request;
        const url = req.url ?? "";
        // Detects keys under any header name by their prefix.
        const keyPassedOn = request.hasKey || JSON.stringify([url, req.rawHeaders]).includes(secretPrefix);
        if (expectedServer !== undefined && expectedServer !== this.#options.id) {
            res.writeHead(421, this.#codec.renderState(this.#state())).end();
            return;
        }
        const rejects = this.#faults.restSeconds !== undefined
            || (this.#faults.sheds && this.#random.next() < faultShare);
        if (rejects || this.#queue.length >= maxServerQueue || !await this.#acquireSlot(res, request.remainingMs)) {
            this.#reject(requestId, keyPassedOn, res);
            return;
        }
        this.#recordStart(request, keyPassedOn);
        if (url.includes(queryOfDeathMarker)) {
            setTimeout(() => this.#crash(requestId), crashDelayMs);
        }
        const done = await this.#work(res, request.remainingMs, parseWorkMs(url) ?? typicalWorkMs);
        this.#running--;
        this.#queue.shift()?.();
        this.#history.record({
            type: "serverEnded",
            requestId,
            server: this.#options.id,
            incarnation: this.#options.id,
            completed: done,
        });
        if (done) {
            this.#respond(requestId, parseResponseBytes(url), res);
        }
    }

    #crash(requestId: string): void {
        this.#history.record({ type: "serverCrashed", requestId, server: this.#options.id });
        process.exit(1);
    }

    /** @returns whether a slot became available before the deadline and before the gateway disconnected */
    async #acquireSlot(res: ServerResponse, remainingMs: number): Promise<boolean> {
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
    #work(res: ServerResponse, remainingMs: number, meanMs: number): Promise<boolean> {
        const cold = this.#isCold() ? coldSlowdown : 1;
        const tookMs = meanMs * (0.5 + this.#random.next()) * this.#faults.slowdown * cold;
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

    #respond(requestId: string, paddingBytes: number, res: ServerResponse): void {
        const run = ++this.#runs;
        const body = renderResponseBody({ requestId, server: this.#options.id, run }, paddingBytes);
        if (this.#faults.fails && this.#random.next() < faultShare) {
            res.writeHead(500, { ...this.#codec.renderDidRun(requestId, true), ...this.#renderMetadata() }).end(
                "failed",
            );
            return;
        }
        if (this.#respondGarbled(requestId, run, body, res)) {
            return;
        }
        const corruption = this.#drawCorruption();
        if (corruption !== undefined) {
            this.#history.record({ type: "serverSpoilt", requestId, server: this.#options.id });
        }
        if (corruption === "lost") {
            res.socket?.destroy();
            return;
        }
        const headers = {
            ...this.#codec.renderDidRun(requestId, corruption !== "unsigned"),
            ...this.#renderMetadata(),
            "content-length": body.length,
        };
        res.writeHead(200, headers);
        if (corruption === "cut") {
            const { socket } = res;
            res.write(body.slice(0, body.length / 2), () => socket?.destroy());
            return;
        }
        const { socket } = res;
        res.end(body);
        if (corruption === "doubled") {
            const names = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
            const extra = ["HTTP/1.1 200 OK", ...names, "", body].join("\r\n");
            setTimeout(() => socket?.write(extra), duplicateDelayMs);
        }
    }

    /** @returns whether it responded: servers that garble do so with a share of their responses */
    #respondGarbled(requestId: string, run: number, body: string, res: ServerResponse): boolean {
        const { garbling } = this.#faults;
        if (garbling === undefined || this.#random.next() >= garbling.share) {
            return false;
        }
        const server = this.#options.id;
        if (garbling.way !== "whole") {
            this.#history.record({ type: "serverSpoilt", requestId, server });
        }
        if (isBroken(garbling)) {
            this.#history.record({ type: "serverBrokeOff", requestId, server, run });
        }
        const headers = { ...this.#codec.renderDidRun(requestId, true), ...this.#renderMetadata() };
        sendGarbled(res, { headers, body, garbling });
        return true;
    }

    #drawCorruption(): Corruption | undefined {
        if (!this.#faults.spoils || this.#random.next() >= corruptionShare) {
            return undefined;
        }
        return corruptions[this.#random.nextInt(corruptions.length)];
    }

    #reject(requestId: string, keyPassedOn: boolean, res: ServerResponse): void {
        const { restSeconds } = this.#faults;
        this.#history.record({
            type: "serverTurnedAway",
            requestId,
            server: this.#options.id,
            availabilityZone: this.#options.availabilityZone,
            cold: this.#isCold(),
            restMs: restSeconds === undefined ? undefined : restSeconds * 1_000,
            keyPassedOn,
        });
        if (!res.destroyed) {
            const rest = restSeconds === undefined ? {} : this.#codec.renderBackoff(restSeconds);
            res.writeHead(503, { ...this.#codec.renderDidNotRun(requestId), ...rest, ...this.#renderMetadata() }).end();
        }
    }

    #recordStart({ requestId, workspace }: ReceivedRequest, keyPassedOn: boolean): void {
        this.#history.record({
            type: "serverStarted",
            requestId,
            server: this.#options.id,
            availabilityZone: this.#options.availabilityZone,
            incarnation: this.#options.id,
            cold: this.#isCold(),
            inFlight: this.#running,
            bears: serverSlots,
            workspace,
            keyPassedOn,
        });
    }

    #setFaults(faults: ServerFaults): void {
        const { limitPerSecond } = faults;
        if (limitPerSecond !== this.#faults.limitPerSecond) {
            this.#history.record({ type: "serverLimited", server: this.#options.id, perSecond: limitPerSecond });
        }
        this.#faults = faults;
    }

    #renderMetadata(): Readonly<Record<string, string>> {
        const { limitPerSecond } = this.#faults;
        const limit = limitPerSecond === undefined ? {} : this.#codec.renderLimit(limitPerSecond);
        return { ...limit, ...this.#renderLeaving() };
    }

    #renderLeaving(): Readonly<Record<string, string>> {
        return this.#faults.saysLeaving ? this.#codec.renderLeaving() : {};
    }

    #isCold(): boolean {
        return performance.now() < this.#coldUntilMs;
    }

    #state(): ServerState {
        return {
            id: this.#options.id,
            running: this.#running,
            waiting: this.#queue.length,
            slots: serverSlots,
            slowdown: this.#faults.slowdown,
            coldRemainingMs: Math.max(0, this.#coldUntilMs - performance.now()),
        };
    }
}
