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
    const { status, body } = response;
    const hasBody = method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;
    writeHead(res, response, hasBody ? body.length : undefined, close);
    res.end(hasBody ? body : undefined);
}

/**
 * Writes the head of a backend server's response. It frames the body so that it looks whole to the caller only if its
 * server's framing shows that it is.
 *
 * @param bodyBytes - length of the body, if it is known to be whole
 */
function writeHead(
    res: ServerResponse,
    { status, headers, endedByClose }: ResponseHead,
    bodyBytes: number | undefined,
    close: boolean,
): void {
    const isLengthKnown = bodyBytes !== undefined && !endedByClose;
    const kept = filterEndToEndHeaders(
        headers,
        name => name === handoverHeader || (isLengthKnown && name === "content-length"),
    );
    if (endedByClose) {
        // Node would send it in chunks otherwise, with a last one at its end.
        res.removeHeader("transfer-encoding");
    }
    if (isLengthKnown) {
        kept.push("content-length", String(bodyBytes));
    }
    if (close || endedByClose) {
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
