import { type RandomSource } from "@galenaglade/routing";
import { connectConfirmed, type HistoryRecorder, type ParsedResponse, ResponseParser } from "@galenaglade/stand-ins";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { routeTimeoutMs } from "./constants.js";
import { judgeResponse } from "./receivedResponse.js";
import { type CallerCredentials } from "./requestGenerator.js";
import { renderBulkPath } from "./requestedWork.js";
import { authority } from "./soakConfiguration.js";
import { type SoakSystem } from "./soakSystem.js";

/** How a caller uses its connections. */
export interface PipeliningBehavior {
    /** Number of requests that it keeps outstanding on a connection. */
    readonly depth: number;
    /** Mean duration of the work that a request asks for, in milliseconds, and the size of its response in bytes. */
    readonly workMs: number;
    readonly responseBytes: number;
    /** Pause between responses and the next request, in milliseconds. */
    readonly thinkMs: number;
    /** Whether it sends further requests behind a response that closes the connection. */
    readonly ignoresClose: boolean;
    /** Whether it sends non-idempotent requests, one at a time, with their body in two parts. */
    readonly uploads: boolean;
    /** Pause after each received chunk, in milliseconds; 0 reads at full speed. */
    readonly readPauseMs: number;
    /** Whether it stays with one gateway until the process is gone, and doesn't ask the balancer for another one. */
    readonly isSticky: boolean;
}

/** A gateway that a caller connects to. */
export interface CallerTarget {
    readonly gateway: string;
    readonly port: number;
    readonly history: HistoryRecorder;
}

/** Callers' patience for a response of the bulk route, in milliseconds. */
export const bulkPatienceMs = 5_000;

const backoffMs = 150;
const uploadPauseMs = 40;
const uploadBody = Buffer.from("x".repeat(2_000));
const okStatus = 200;

/**
 * A caller that uses kept connections until they end, with several requests outstanding on each. It goes on sending
 * after a response that announces the connection's close if its behavior says so.
 */
export class PipeliningCaller {
    readonly #name: string;
    readonly #system: SoakSystem;
    readonly #random: RandomSource;
    readonly #behavior: PipeliningBehavior;
    readonly #pickTarget: () => CallerTarget | undefined;
    readonly #findCredentials: () => CallerCredentials | undefined;
    #sent = 0;
    #served = 0;
    #ended = false;
    #socket: Socket | undefined;

    /**
     * @param name - unique name; the request ids begin with it
     * @param system - encodes requests
     * @param random - varies the pauses
     * @param behavior - use of connections
     * @param pickTarget - picks the gateway of a new connection as the balancer does
     * @param findCredentials - finds the key of a request; by default it has none
     */
    constructor(
        name: string,
        system: SoakSystem,
        random: RandomSource,
        behavior: PipeliningBehavior,
        pickTarget: () => CallerTarget | undefined,
        findCredentials: () => CallerCredentials | undefined = () => undefined,
    ) {
        this.#name = name;
        this.#system = system;
        this.#random = random;
        this.#behavior = behavior;
        this.#pickTarget = pickTarget;
        this.#findCredentials = findCredentials;
    }

    get sentCount(): number {
        return this.#sent;
    }

    get servedCount(): number {
        return this.#served;
    }

    /** Sends requests until {@link end} is called. Never rejects. */
    async run(): Promise<void> {
        let target: CallerTarget | undefined;
        while (!this.#ended) {
            target = this.#behavior.isSticky && target !== undefined && await canConnect(target.port)
                ? target
                : this.#pickTarget();
            if (target !== undefined) {
                await this.#useConnection(target);
            }
            await sleep(backoffMs * this.#random.next());
        }
    }

    /** Stops sending; the connection closes once its outstanding requests are answered. */
    end(): void {
        this.#ended = true;
    }

    /** Closes the connection at once. */
    abort(): void {
        this.#ended = true;
        this.#socket?.destroy();
    }

    #useConnection({ gateway, port, history }: CallerTarget): Promise<void> {
        return new Promise(resolve => {
            const socket = connectConfirmed(port);
            this.#socket = socket;
            let wasReset = false;
            const connection = new CallerConnection(socket, this.#behavior, {
                createRequest: behind => this.#createRequest(gateway, history, behind),
                mayContinue: () => !this.#ended,
                onAnswered: (request, res) => this.#onAnswered(history, request, res),
                onLost: requestId => history.record({ type: "callerCutOff", requestId, reset: wasReset }),
                onNoResponse: detail => history.record({ type: "callerGotNoResponse", detail }),
                thinkMs: () => this.#behavior.thinkMs * 2 * this.#random.next(),
            });
            socket.on("error", () => {
                wasReset = true;
            });
            socket.on("connect", () => connection.start());
            socket.on("close", () => {
                connection.onClosed();
                resolve();
            });
        });
    }

    #createRequest(gateway: string, history: HistoryRecorder, behind: boolean): CreatedRequest {
        const { workMs, responseBytes, uploads } = this.#behavior;
        const requestId = `${this.#name}-${++this.#sent}`;
        const route = uploads ? "file" : "bulk";
        const patienceMs = uploads ? routeTimeoutMs : bulkPatienceMs;
        const path = renderBulkPath(route, requestId, workMs, responseBytes);
        const credentials = this.#findCredentials();
        const headers = {
            host: authority,
            ...this.#system.renderRequestHeaders(requestId, patienceMs, credentials),
            ...uploads ? { "content-length": String(uploadBody.length) } : {},
        };
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
        return {
            requestId,
            path,
            head: [`${uploads ? "POST" : "GET"} ${path} HTTP/1.1`, ...lines, "", ""].join("\r\n"),
            onSent: sentForMs =>
                history.record({
                    type: "callerSent",
                    requestId,
                    service: route,
                    idempotent: !uploads,
                    gateway,
                    // Gateways count the time from the head of the request.
                    patienceMs: patienceMs - sentForMs,
                    keyId: credentials?.key?.id,
                    behind,
                }),
        };
    }

    #onAnswered(history: HistoryRecorder, request: SentRequest, res: ParsedResponse): void {
        this.#served += res.status === okStatus ? 1 : 0;
        history.record(judgeResponse(this.#system, { ...res, ...request }).event);
    }
}

/** Recorded in place of a request id for a success that no request waits for. */
const noRequest: SentRequest = { requestId: "no request", path: "" };

/** A request that a caller has sent. */
interface SentRequest {
    readonly requestId: string;
    readonly path: string;
}

/** A request that a caller is about to send. */
interface CreatedRequest extends SentRequest {
    readonly head: string;
    /** Called when the last byte has been written, with the time since the first one in milliseconds. */
    readonly onSent: (sentForMs: number) => void;
}

/** What a connection reports to its caller. */
interface ConnectionEvents {
    readonly createRequest: (behind: boolean) => CreatedRequest;
    readonly mayContinue: () => boolean;
    readonly onAnswered: (request: SentRequest, res: ParsedResponse) => void;
    readonly onLost: (requestId: string) => void;
    /** Called for bytes that are no response. */
    readonly onNoResponse: (detail: string) => void;
    readonly thinkMs: () => number;
}

/** One connection of a caller, with its outstanding requests. */
class CallerConnection {
    readonly #socket: Socket;
    readonly #behavior: PipeliningBehavior;
    readonly #events: ConnectionEvents;
    readonly #parser = new ResponseParser();
    readonly #outstanding: SentRequest[] = [];
    #isClosing = false;
    #hasEnded = false;

    constructor(socket: Socket, behavior: PipeliningBehavior, events: ConnectionEvents) {
        this.#socket = socket;
        this.#behavior = behavior;
        this.#events = events;
        socket.on("data", chunk => this.#onData(chunk));
        socket.on("end", () => {
            this.#hasEnded = true;
            const res = this.#parser.end();
            if (res !== undefined) {
                this.#onResponse(res);
            }
        });
    }

    start(): void {
        for (let i = 0; i < (this.#behavior.uploads ? 1 : this.#behavior.depth); i++) {
            this.#send();
        }
    }

    /** Reports the requests that got no response. */
    onClosed(): void {
        this.#hasEnded = true;
        for (const { requestId } of this.#outstanding.splice(0)) {
            this.#events.onLost(requestId);
        }
    }

    #send(): void {
        if (this.#hasEnded || !this.#events.mayContinue() || !this.#socket.writable) {
            return;
        }
        const behind = this.#isClosing || this.#outstanding.length > 0;
        const { requestId, path, head, onSent } = this.#events.createRequest(behind);
        this.#outstanding.push({ requestId, path });
        if (!this.#behavior.uploads) {
            onSent(0);
            this.#socket.write(head);
            return;
        }
        const startedAtMs = performance.now();
        this.#socket.write(head);
        this.#socket.write(uploadBody.subarray(1));
        setTimeout(() => {
            onSent(performance.now() - startedAtMs);
            if (this.#socket.writable) {
                this.#socket.write(uploadBody.subarray(0, 1));
            }
        }, uploadPauseMs);
    }

    #onData(chunk: Buffer): void {
        try {
            for (const res of this.#parser.add(chunk)) {
                this.#onResponse(res);
            }
        }
        catch (err) {
            this.#events.onNoResponse(String(err));
            this.#socket.destroy();
            return;
        }
        if (this.#behavior.readPauseMs > 0) {
            this.#socket.pause();
            setTimeout(() => this.#socket.resume(), this.#behavior.readPauseMs);
        }
    }

    #onResponse(res: ParsedResponse): void {
        const request = this.#outstanding.shift();
        if (request !== undefined || res.status === okStatus) {
            this.#events.onAnswered(request ?? noRequest, res);
        }
        if (res.closes) {
            this.#isClosing = true;
            if (!this.#behavior.ignoresClose) {
                this.#socket.end();
                return;
            }
        }
        const pauseMs = this.#events.thinkMs() + (res.status === okStatus ? 0 : backoffMs);
        setTimeout(() => {
            if (!this.#events.mayContinue() && this.#outstanding.length === 0) {
                this.#socket.end();
                return;
            }
            this.#send();
        }, pauseMs);
    }
}

function canConnect(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => resolve(false));
        socket.on("connect", () => {
            socket.destroy();
            resolve(true);
        });
    });
}
