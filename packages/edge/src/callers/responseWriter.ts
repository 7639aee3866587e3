import { cutCaller, keepEndToEnd } from "@galenaglade/http-parts";
import { type ServerResponse } from "node:http";
import { type ResponseHead, ResponseSink, type BufferedResponse } from "../backends/sendRequest.js";
import { handoverHeader } from "../handover/handoverMessages.js";

const noContentStatus = 204;
const notModifiedStatus = 304;

/**
 * Gives a caller a backend server's whole answer.
 *
 * @param res - the caller's answer
 * @param method - of the request
 * @param answer - as the server gave it
 * @param close - whether the caller's connection ends with it
 */
export function writeResponse(res: ServerResponse, method: string, answer: BufferedResponse, close: boolean): void {
    const { status, headers, body } = answer;
    const hasBody = method !== "HEAD" && status !== noContentStatus && status !== notModifiedStatus;
    const kept = keepEndToEnd(
        headers,
        name => name === handoverHeader || (hasBody && name === "content-length"),
    );
    if (answer.endedByClose) {
        // With a length it would look whole, which nobody knows; the caller gets it framed as the server framed it.
        res.removeHeader("transfer-encoding");
    }
    else if (hasBody) {
        kept.push("content-length", String(body.length));
    }
    if (close || answer.endedByClose) {
        kept.push("connection", "close");
    }
    res.writeHead(status, kept);
    res.end(hasBody ? body : undefined);
}

/** Passes a large answer on as it comes. */
export class CallerSink extends ResponseSink {
    readonly #res: ServerResponse;

    constructor(res: ServerResponse, head: ResponseHead, close: boolean) {
        super();
        this.#res = res;
        const kept = keepEndToEnd(head.headers, name => name === handoverHeader);
        if (close) {
            kept.push("connection", "close");
        }
        res.writeHead(head.status, kept);
    }

    override write(chunk: Buffer, resume: () => void): boolean {
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

    /** Half an answer that ends like a whole one reads as a shorter table; a reset says that it is not whole. */
    end(whole: boolean): void {
        if (whole) {
            this.#res.end();
            return;
        }
        cutCaller(this.#res);
    }
}
