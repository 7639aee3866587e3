import { type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { connectConfirmed } from "./confirmedSocket.js";
import { type ParsedResponse, ResponseParser } from "./responseParser.js";

/** One request of a {@link KeptCaller}. */
export interface KeptRequest {
    readonly method?: string;
    readonly path: string;
    /** Header lines besides the length. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Bytes of the body that are sent at once; the rest follows after `pauseMs`. Default: the whole body. */
    readonly firstBytes?: number;
    readonly pauseMs?: number;
    /** Whether responses are read only once the whole request was sent. */
    readonly readsLast?: boolean;
    /** Maximum time to wait for the response after all was sent, in milliseconds. */
    readonly timeoutMs: number;
}

/** How a request on a kept connection ended. */
export type KeptResult =
    | { readonly type: "answered"; readonly response: ParsedResponse; }
    /** The connection ended without a response. */
    | { readonly type: "closed"; }
    | { readonly type: "unanswered"; };

/** A caller that keeps one connection, as long as the responses on it don't announce its end. */
export class KeptCaller {
    readonly #socket: Socket;
    readonly #parser = new ResponseParser();
    readonly #responses: ParsedResponse[] = [];
    #hasEnded = false;
    #wake = (): void => undefined;

    private constructor(socket: Socket) {
        this.#socket = socket;
        socket.on("data", (chunk: Buffer) => {
            try {
                this.#responses.push(...this.#parser.add(chunk));
            }
            catch (err) {
                socket.destroy(err as Error);
            }
            this.#wake();
        });
        socket.on("end", () => {
            const response = this.#parser.end();
            this.#responses.push(...response === undefined ? [] : [response]);
        });
        for (const event of ["error", "end", "close"]) {
            socket.on(event, () => {
                this.#hasEnded = true;
                this.#wake();
            });
        }
    }

    /** @returns a caller whose connection is open */
    static async open(port: number): Promise<KeptCaller> {
        const socket = connectConfirmed(port, true);
        const caller = new KeptCaller(socket);
        await new Promise<void>((resolve, reject) => {
            socket.once("connect", resolve);
            socket.once("error", reject);
        });
        return caller;
    }

    /** Whether the other side has closed the connection. */
    get hasEnded(): boolean {
        return this.#hasEnded;
    }

    close(): void {
        this.#socket.destroy();
    }

    /** Sends a request and waits for its response, which may come before all of the request was sent. */
    async send(req: KeptRequest): Promise<KeptResult> {
        const { method = "POST", path, headers, body, firstBytes = body.length, pauseMs = 0, readsLast = false } = req;
        if (readsLast) {
            this.#socket.pause();
        }
        this.#socket.write(
            [`${method} ${path} HTTP/1.1`, ...headers, `content-length: ${body.length}`, "", ""].join("\r\n"),
        );
        this.#socket.write(body.subarray(0, firstBytes));
        if (firstBytes < body.length) {
            await sleep(pauseMs);
            this.#socket.write(body.subarray(firstBytes));
        }
        if (readsLast) {
            await this.#whenSent(req.timeoutMs);
            this.#socket.resume();
        }
        return await this.#read(req.timeoutMs);
    }

    async #whenSent(timeoutMs: number): Promise<void> {
        const untilMs = performance.now() + timeoutMs;
        while (this.#socket.writableLength > 0 && !this.#socket.destroyed && performance.now() < untilMs) {
            await sleep(5);
        }
    }

    async #read(timeoutMs: number): Promise<KeptResult> {
        const untilMs = performance.now() + timeoutMs;
        while (this.#responses.length === 0 && !this.#hasEnded && performance.now() < untilMs) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, untilMs - performance.now());
                this.#wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
        const response = this.#responses.shift();
        if (response !== undefined) {
            return { type: "answered", response };
        }
        return { type: this.#hasEnded ? "closed" : "unanswered" };
    }
}
