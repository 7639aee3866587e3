import { resetCallerConnection, filterEndToEndHeaders } from "@galenaglade/http-parts";
import { type IncomingMessage, type ServerResponse } from "node:http";
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

/**
 * Writes a backend server's buffered response to the caller.
 *
 * @param res - response to the caller
 * @param response - the server's response
 * @param close - whether to close the caller's connection after it
 */
export function writeResponse(res: ServerResponse, response: BufferedResponse, close: boolean): void {
    writeHead(res, response, response.body.length, close);
    res.end(response.framing.type === "none" ? undefined : response.body);
}

/**
 * @param head - head of a response that is streamed
 * @param req - the caller's request
 * @returns whether only the end of the caller's connection can mark the end of the body: its length isn't known, and
 * HTTP/1.0 has no chunks
 */
export function endsWithConnection({ framing }: ResponseHead, req: IncomingMessage): boolean {
    return req.httpVersion === "1.0" && framing.type !== "length" && framing.type !== "none";
}

/**
 * Writes the head of a backend server's response. The body gets a length if that is known, and Node sends it in chunks
 * otherwise, so that the end of this process never looks like the end of the body. HTTP/1.0 callers know no chunks.
 *
 * @param bodyBytes - length of the body, if all of it has been received
 */
function writeHead(
    res: ServerResponse,
    { status, headers, framing }: ResponseHead,
    bodyBytes: number | undefined,
    close: boolean,
): void {
    const keepsLength = framing.type === "length" || framing.type === "none";
    const kept = filterEndToEndHeaders(
        headers,
        name => name === handoverHeader || (!keepsLength && name === "content-length"),
    );
    if (!keepsLength && bodyBytes !== undefined) {
        kept.push("content-length", String(bodyBytes));
    }
    if (close) {
        kept.push("connection", "close");
    }
    res.writeHead(status, kept);
}

/** Streams a large response to the caller as it arrives. */
export class CallerSink extends ResponseSink {
    readonly #res: ServerResponse;

    constructor(res: ServerResponse, head: ResponseHead, close: boolean) {
        super();
        this.#res = res;
        writeHead(res, head, undefined, close);
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
