import { clientHeader } from "@galenaglade/platform";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import {
    closeServer,
    listen,
    type ListenAddress,
    type ListeningServer,
    readBody,
    readJson,
    sendJson,
} from "../http/jsonServer.js";
import { type HistoryRecorder, NoopHistoryRecorder } from "../recording/historyRecorder.js";
import { type BackendResponse, backendHeaders, computeDigest } from "./backendResponse.js";
import { type BackendFaults, backendFaultsSchema } from "./backendFaults.js";
import { type LoadReport, LoadReportHistory } from "./loadReportHistory.js";
import { readRequestMetadata, readHeader, type RequestMetadata } from "./requestMetadata.js";
import { defaultServerCapacity, type ServerCapacity, ServerModel } from "./serverModel.js";
import { SlotQueue } from "./slotQueue.js";
import { computeRemainingMs, simulateWork } from "./simulateWork.js";
import { drawWorkMs, type WorkTimeDistribution } from "./workTime.js";

/** Options of a stand-in backend server. */
export interface BackendServerOptions {
    readonly name: string;
    readonly availabilityZone: string;
    readonly listen?: ListenAddress | undefined;
    readonly capacity?: Partial<ServerCapacity> | undefined;
    /** Limit on open connections; further ones are closed immediately. */
    readonly maxConnections?: number | undefined;
    readonly startsCold?: boolean | undefined;
    readonly seed?: number | undefined;
    readonly workTime?: WorkTimeDistribution | undefined;
    readonly history?: HistoryRecorder | undefined;
}

/** Response body of `/counters`. */
export interface BackendCounters {
    readonly started: number;
    readonly finished: number;
    readonly shed: number;
    readonly cancelled: number;
    readonly probes: number;
    /** Requests that exceeded the concurrency limit of the cold server. */
    readonly coldOverloads: number;
}

const defaultMaxConnections = 200;
const defaultWorkTime: WorkTimeDistribution = { medianMs: 20, sigma: 0.5 };
/** Delay of the error responses that an overloaded cold server sends, in milliseconds. */
const overloadErrorDelayMs = 1_000;
/** The stand-in backend server: an HTTP server with limited slots, cold start, draining and fault injection. */
export class BackendServer {
    readonly #options: BackendServerOptions;
    readonly #history: HistoryRecorder;
    readonly #random: RandomSource;
    readonly #model: ServerModel;
    readonly #pid = process.pid;
    readonly #queue: SlotQueue;
    readonly #loadHistory = new LoadReportHistory();
    readonly #unresponsiveSockets = new WeakSet<Socket>();
    readonly #sockets = new Set<Socket>();
    /** Connections of `/faults` requests; a simulated restart keeps them open so that the request is answered. */
    readonly #controlSockets = new WeakSet<Socket>();
    readonly #counters = { started: 0, finished: 0, shed: 0, cancelled: 0, probes: 0 };
    #faults: BackendFaults = backendFaultsSchema.parse({});
    #listening: ListeningServer | undefined;

    private constructor(options: BackendServerOptions) {
        this.#options = options;
        this.#history = options.history ?? new NoopHistoryRecorder();
        this.#random = createRandomSource(options.seed ?? 1);
        this.#model = new ServerModel({ ...defaultServerCapacity, ...options.capacity }, options.startsCold !== true);
        this.#queue = new SlotQueue(this.#model);
    }

    static async start(options: BackendServerOptions): Promise<BackendServer> {
        const server = new BackendServer(options);
        server.#listening = await listen(
            options.listen ?? { host: "127.0.0.1", port: 0 },
            (req, res) => server.#handle(req, res),
        );
        server.#listening.server.maxConnections = options.maxConnections ?? defaultMaxConnections;
        server.#listening.server.on("connection", (socket: Socket) => server.#trackSocket(socket));
        return server;
    }

    get url(): string {
        return this.#listening?.url ?? "";
    }

    get port(): number {
        return this.#listening?.port ?? 0;
    }

    get counters(): BackendCounters {
        return { ...this.#counters, coldOverloads: this.#model.coldOverloads };
    }

    /** The actual load, unaffected by faults of `/load`. */
    get load(): LoadReport {
        const { state, inFlight, concurrencyLimit } = this.#model;
        return {
            state,
            inFlight,
            bears: concurrencyLimit,
            incarnation: `${this.#pid}-${this.#model.incarnationCount}`,
        };
    }

    /** Replaces all injected faults. */
    setFaults(faults: Partial<BackendFaults>): void {
        this.#faults = backendFaultsSchema.parse(faults);
        if (this.#faults.turnCold !== "no") {
            this.#turnCold(this.#faults.turnCold === "restarted");
        }
        if (this.#faults.leave) {
            this.#startLeaving();
        }
        if (this.#faults.silent === "openConnections") {
            for (const socket of this.#sockets) {
                this.#unresponsiveSockets.add(socket);
            }
        }
    }

    /**
     * Graceful shutdown: reports the state `leaving`, keeps serving for the grace period and until no request is in
     * flight, then stops.
     */
    async drain(graceMs: number): Promise<void> {
        this.#startLeaving();
        const untilMs = performance.now() + graceMs;
        while (performance.now() < untilMs || this.#model.inFlight > 0) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        await this.stop();
    }

    /** Closes every connection and stops listening. */
    async stop(): Promise<void> {
        if (this.#listening !== undefined) {
            await closeServer(this.#listening.server);
        }
    }

    #startLeaving(): void {
        if (this.#model.state !== "leaving") {
            this.#model.startLeaving();
            this.#history.record({ type: "serverLeaving", server: this.#options.name });
        }
    }

    /** A restart closes every connection; an unannounced change to cold only sheds the queued requests. */
    #turnCold(restarted: boolean): void {
        this.#model.turnCold(restarted);
        this.#queue.cancelAll();
        if (!restarted) {
            return;
        }
        for (const socket of this.#sockets) {
            if (!this.#controlSockets.has(socket)) {
                socket.destroy();
            }
        }
    }

    #trackSocket(socket: Socket): void {
        this.#sockets.add(socket);
        socket.once("close", () => this.#sockets.delete(socket));
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        switch (req.url) {
            case "/faults":
                this.#controlSockets.add(req.socket);
                this.setFaults(backendFaultsSchema.parse(await readJson(req)));
                sendJson(res, 200, this.#faults);
                return;
            case "/counters":
                sendJson(res, 200, this.counters);
                return;
            case "/load":
            case "/health":
                this.#handleProbe(req, res);
                return;
            default:
                await this.#serve(req, res);
        }
    }

    #handleProbe(req: IncomingMessage, res: ServerResponse): void {
        this.#counters.probes++;
        const gateway = readHeader(req, clientHeader) ?? "unknown";
        this.#history.record({ type: "serverProbed", server: this.#options.name, gateway });
        if (this.#isUnresponsive(req)) {
            return;
        }
        const report = this.#loadHistory.createReport(this.load, this.#faults, performance.now());
        this.#setLoadHeaders(res, report);
        sendJson(res, 200, report);
    }

    async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const arrivedAtMs = performance.now();
        const metadata = readRequestMetadata(req);
        const body = await readBody(req);
        if (this.#faults.closeOnRead > 0) {
            this.#faults = { ...this.#faults, closeOnRead: this.#faults.closeOnRead - 1 };
            req.socket.destroy();
            return;
        }
        if (this.#isUnresponsive(req)) {
            return;
        }
        const admission = this.#faults.shed ? "shed" : this.#model.admit(arrivedAtMs);
        this.#loadHistory.record(this.load, arrivedAtMs);
        if (admission === "shed") {
            this.#sendShed(res, "too many requests in flight");
            return;
        }
        if (admission === "queue" && !await this.#queue.wait(res, computeRemainingMs(metadata, arrivedAtMs))) {
            this.#sendShed(res, "it waited for a slot in vain");
            return;
        }
        await this.#run(req, res, metadata, body, arrivedAtMs, admission === "fallOver");
    }

    async #run(
        req: IncomingMessage,
        res: ServerResponse,
        metadata: RequestMetadata,
        body: Buffer,
        arrivedAtMs: number,
        isOverloaded: boolean,
    ): Promise<void> {
        this.#recordStart(metadata);
        const isFailing = isOverloaded || this.#faults.failFast;
        const outcome = await simulateWork(
            res,
            this.#computeWorkMs(metadata, isOverloaded),
            computeRemainingMs(metadata, arrivedAtMs),
        );
        this.#model.onRequestEnded(outcome === "done" && !isFailing);
        this.#loadHistory.record(this.load, performance.now());
        this.#history.record({
            type: "serverEnded",
            requestId: metadata.requestId,
            server: this.#options.name,
            incarnation: this.load.incarnation,
        });
        this.#queue.startNext();
        if (outcome === "cancelled") {
            this.#counters.cancelled++;
            return;
        }
        if (this.#isUnresponsive(req)) {
            return;
        }
        this.#setLoadHeaders(res, this.load);
        res.setHeader(backendHeaders.requestId, metadata.requestId);
        if (outcome === "deadline") {
            sendJson(res, 504, { error: "the deadline passed while it ran" });
            return;
        }
        if (isFailing) {
            sendJson(res, 500, { error: isOverloaded ? "overloaded while cold" : "failing" });
            return;
        }
        this.#counters.finished++;
        this.#sendResponse(res, metadata, body);
    }

    #sendResponse(res: ServerResponse, metadata: RequestMetadata, body: Buffer): void {
        if (this.#faults.closeAfterRun > 0) {
            this.#faults = { ...this.#faults, closeAfterRun: this.#faults.closeAfterRun - 1 };
            res.socket?.destroy();
            return;
        }
        const responseBody: BackendResponse = {
            requestId: metadata.requestId,
            server: this.#options.name,
            incarnation: this.load.incarnation,
            requestDigest: computeDigest(body),
            padding: "x".repeat(metadata.answerBytes),
        };
        const text = Buffer.from(JSON.stringify(responseBody));
        res.writeHead(200, {
            "content-type": "application/json",
            "content-length": text.length,
            [backendHeaders.bodyDigest]: computeDigest(text),
        });
        if (this.#faults.truncateAnswers > 0) {
            this.#faults = { ...this.#faults, truncateAnswers: this.#faults.truncateAnswers - 1 };
            res.write(text.subarray(0, text.length - 1), () => res.socket?.end());
            return;
        }
        res.end(text);
    }

    #sendShed(res: ServerResponse, reason: string): void {
        this.#counters.shed++;
        this.#setLoadHeaders(res, this.load);
        res.setHeader(backendHeaders.didRun, "no");
        sendJson(res, 503, { error: reason });
    }

    #computeWorkMs(metadata: RequestMetadata, isOverloaded: boolean): number {
        if (isOverloaded) {
            return overloadErrorDelayMs;
        }
        if (this.#faults.failFast) {
            return 0;
        }
        const drawn = metadata.workMs ?? drawWorkMs(this.#options.workTime ?? defaultWorkTime, this.#random);
        return drawn * this.#faults.slowFactor;
    }

    #recordStart(metadata: RequestMetadata): void {
        this.#counters.started++;
        this.#history.record({
            type: "serverStarted",
            requestId: metadata.requestId,
            idempotencyKey: metadata.idempotencyKey,
            server: this.#options.name,
            availabilityZone: this.#options.availabilityZone,
            incarnation: this.load.incarnation,
            cold: this.#model.isCold,
            inFlight: this.#model.inFlight,
            bears: this.#model.concurrencyLimit,
        });
    }

    #setLoadHeaders(res: ServerResponse, report: LoadReport): void {
        res.setHeader(backendHeaders.state, report.state);
        res.setHeader(backendHeaders.inFlight, report.inFlight);
        res.setHeader(backendHeaders.incarnation, report.incarnation);
        res.setHeader(backendHeaders.bears, report.bears);
    }

    #isUnresponsive(req: IncomingMessage): boolean {
        switch (this.#faults.silent) {
            case "no":
                return false;
            case "all":
                return true;
            case "openConnections":
                return this.#unresponsiveSockets.has(req.socket);
        }
    }
}
