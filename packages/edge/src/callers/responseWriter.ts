import { resetCallerConnection, filterEndToEndHeaders } from "@galenaglade/http-parts";
import { type ServerResponse } from "node:http";
import { type ResponseHead, ResponseSink, type BufferedResponse } from "../backends/sendRequest.js";
import { handoverHeader } from "../handover/handoverMessages.js";

/**
 * Calls a function once a response is next on its connection; never, if the connection closes before. The HTTP server
 * stops reading a connection on which too much waits for its turn, and an unread connection doesn't show its end.
 *
 * @param res - response to the caller
 * @param write - writes the response or a part of it
 * @param onError - called if that fails after this call; nobody else could handle the error then
 */
export function writeWhenDue(res: ServerResponse, write: () => void, onError: (err: unknown) => void): void {
    if (res.socket !== null || res.destroyed) {
        write();
        return;
    }
    const writeSafely = (): void => {
        try {
            write();
        }
        catch (err) {
            onError(err);
        }
    };
    // The HTTP server emits the event in the middle of attaching the connection.
    res.once("socket", () => process.nextTick(writeSafely));
}

const noContentStatus = 204;
const notModifiedStatus = 304;

/**
 * Writes a backend server's buffered response to the caller.
 *
 * @param res - response to the caller
 * @param method - method of the request
 * @param response - the server's response
 * @param close - whether to close the caller's connection after it
 */
export function writeResponse(res: ServerResponse, method: string, response: BufferedResponse, close: boolean): void {
    const { status, headers, body } = response;
    const hasBody = method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;
    const kept = filterEndToEndHeaders(
        headers,
        name => name === handoverHeader || (hasBody && name === "content-length"),
    );
    if (response.endedByClose) {
        // May be truncated: a content-length would make it look complete, so it keeps the server's framing.
        res.removeHeader("transfer-encoding");
    }
    else if (hasBody) {
        kept.push("content-length", String(body.length));
    }
    if (close || response.endedByClose) {
        kept.push("connection", "close");
    }
    res.writeHead(status, kept);
    res.end(hasBody ? body : undefined);
}

/** Streams a large response to the caller as it arrives. */
export class CallerSink extends ResponseSink {
    readonly #res: ServerResponse;

    constructor(res: ServerResponse, head: ResponseHead, close: boolean) {
        super();
        this.#res = res;
        const kept = filterEndToEndHeaders(head.headers, name => name === handoverHeader);
        if (close) {
            kept.push("connection", "close");
        }
        res.writeHead(head.status, kept);
    }

    override write(chunk: Buffer, resume: () => void): boolean {
        if (this.#res.socket === null && !this.#res.destroyed) {
            const writeFirst = (): void => {
                if (this.write(chunk, resume)) {
                    resume();
                }
            };
            writeWhenDue(this.#res, writeFirst, () => this.end(false));
            return false;
        }
        if (this.#res.destroyed || this.#res.write(chunk)) {
            return true;
        }
        const onReady = (): void => {
            this.#res.off("drain", onReady);
            this.#res.off("close", onReady);
            resume();
        };
        this.#res.on("drain", onReady);
        this.#res.on("close", onReady);
        return false;
    }

    /** Resets the connection after a truncated response, which would otherwise look like a complete, shorter one. */
    end(complete: boolean): void {
        if (complete) {
            this.#res.end();
            return;
        }
        resetCallerConnection(this.#res);
    }
}
