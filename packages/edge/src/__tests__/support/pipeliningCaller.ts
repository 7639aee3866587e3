import { type ParsedResponse, ResponseParser } from "@galenaglade/stand-ins";
import { connect, type Socket } from "node:net";
import { type TestContext } from "node:test";

/** Options of a {@link PipeliningCaller}. */
export interface PipeliningCallerOptions {
    /** Path of each request, by its number. */
    readonly path: (n: number) => string;
    readonly method?: "GET" | "POST";
    /** Number of requests that are outstanding at first; each response is followed by one more request. */
    readonly depth: number;
    /** Time between the first requests, in milliseconds. Default: sent at once. */
    readonly staggerMs?: number;
    /** Pause after each received chunk, in milliseconds. Default: none. */
    readonly readPauseMs?: number;
    /** Number of requests sent in total. Default: no limit. */
    readonly limit?: number;
}

/** A caller on one kept connection that goes on sending until the connection ends, also behind `connection: close`. */
export class PipeliningCaller {
    /** Request ids in the order in which they were sent, with the response to each that was complete. */
    readonly requests: { readonly requestId: string; readonly path: string; response: ParsedResponse | undefined; }[] =
        [];
    readonly socket: Socket;
    /** Resolves once the connection has closed; with whether it was reset. */
    readonly closed: Promise<{ readonly reset: boolean; }>;
    readonly #options: PipeliningCallerOptions;
    readonly #parser = new ResponseParser();
    #answered = 0;
    #hasEnded = false;

    constructor(t: TestContext, url: string, options: PipeliningCallerOptions) {
        this.#options = options;
        this.socket = connect(Number(new URL(url).port), "127.0.0.1");
        let reset = false;
        this.socket.on("error", () => {
            reset = true;
        });
        this.closed = new Promise(resolve => this.socket.on("close", () => resolve({ reset })));
        this.socket.on("end", () => {
            this.#hasEnded = true;
        });
        this.socket.on("data", chunk => this.#onData(chunk));
        t.after(() => this.socket.destroy());
        for (let i = 0; i < options.depth; i++) {
            setTimeout(() => this.#send(), i * (options.staggerMs ?? 0));
        }
    }

    #send(): void {
        const { path, method = "GET", limit = Infinity } = this.#options;
        const n = this.requests.length;
        if (this.#hasEnded || !this.socket.writable || n >= limit) {
            return;
        }
        const request = {
            requestId: `pipelined-${this.socket.localPort ?? 0}-${n}`,
            path: path(n),
            response: undefined,
        };
        this.requests.push(request);
        const headers = ["host: survey.example", `x-id: ${request.requestId}`, "x-patience-ms: 8000"];
        if (method === "POST") {
            headers.push("content-length: 0");
        }
        this.socket.write([`${method} ${request.path} HTTP/1.1`, ...headers, "", ""].join("\r\n"));
    }

    #onData(chunk: Buffer): void {
        for (const response of this.#parser.add(chunk)) {
            const request = this.requests[this.#answered++];
            if (request !== undefined) {
                request.response = response;
            }
            this.#send();
        }
        const { readPauseMs = 0 } = this.#options;
        if (readPauseMs > 0) {
            this.socket.pause();
            setTimeout(() => this.socket.resume(), readPauseMs);
        }
    }
}
