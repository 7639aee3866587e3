import { resolveBodyFraming } from "./bodyFraming.js";

/** Part of a response that isn't payload and has a limit of its own. */
export type FramingPart = "head" | "interimResponses" | "chunkSize" | "trailers";

/** Limits of the parts of a response that aren't payload. */
export interface FramingLimits {
    /**
     * Maximum size of a response's head, in bytes: status line and header lines, the interim responses and empty lines
     * ahead of them included.
     */
    readonly maxHeadBytes: number;
    /** Maximum number of interim responses (1xx) ahead of a response. */
    readonly maxInterimResponses: number;
    /** Maximum size of the line that begins a chunk, in bytes: size and extensions. */
    readonly maxChunkSizeBytes: number;
    /** Maximum size of the trailers of a chunked response, in bytes. */
    readonly maxTrailerBytes: number;
}

/** A response whose framing exceeds a limit. The connection that it came on is unusable. */
export class ResponseFramingError extends Error {
    override readonly name = "ResponseFramingError";
    /** The part that is too large. */
    readonly part: FramingPart;

    constructor(part: FramingPart, limit: number) {
        super(`the response's ${part} exceeds ${limit}`);
        this.part = part;
    }
}

type State =
    | { readonly type: "head"; }
    | { readonly type: "payload"; left: number; }
    /** Payload that ends with the connection. */
    | { readonly type: "payloadUntilClose"; }
    | { readonly type: "chunkSize"; }
    /** The line break behind a chunk's payload. */
    | { readonly type: "chunkEnd"; }
    | { readonly type: "trailers"; };

const lineFeed = 0x0a;
const statusLine = /^HTTP\/\d\.\d (\d{3})/;
const switchingProtocols = 101;

/**
 * Follows the framing of the HTTP/1.1 responses on one connection (RFC 9112) and measures what isn't payload. It rejects
 * no syntax: that is left to the HTTP parser behind it, which has no limit for some parts and reads them as long as they
 * come. The response to a HEAD request isn't told apart: clients close the connection behind it.
 */
export class ResponseFraming {
    readonly #limits: FramingLimits;
    #state: State = { type: "head" };
    /** Bytes and lines of the current head, chunk size or trailers. */
    #bytes = 0;
    #line = "";
    #headLines: string[] = [];
    #interimResponses = 0;
    #isChunked = false;
    #bodyEnd: number | undefined;

    /** @param limits - of the parts that aren't payload */
    constructor(limits: FramingLimits) {
        this.#limits = limits;
    }

    /** Whether a response's body is being received that ends with the connection. */
    get isOpenEnded(): boolean {
        return this.#state.type === "payloadUntilClose";
    }

    /** Whether a part of a response has been received and its end has not. */
    get isReceiving(): boolean {
        return this.#state.type !== "head" || this.#line !== "" || this.#headLines.length > 0;
    }

    /** Offset behind the first body that ended in the bytes that were processed last; `undefined` if none did. */
    get bodyEnd(): number | undefined {
        return this.#bodyEnd;
    }

    /**
     * Processes received bytes.
     *
     * @param chunk - the next bytes of the connection
     * @throws ResponseFramingError if a part exceeds its limit
     */
    onBytes(chunk: Buffer): void {
        let at = 0;
        this.#bodyEnd = undefined;
        while (at < chunk.length) {
            const state = this.#state;
            switch (state.type) {
                case "payloadUntilClose":
                    return;
                case "payload":
                    at = this.#skipPayload(state, chunk, at);
                    break;
                default:
                    at = this.#readLine(state.type, chunk, at);
            }
            if (state.type !== "head" && this.#state.type === "head") {
                this.#bodyEnd ??= at;
            }
        }
    }

    #skipPayload(state: { left: number; }, chunk: Buffer, at: number): number {
        const skipped = Math.min(state.left, chunk.length - at);
        state.left -= skipped;
        if (state.left === 0) {
            this.#begin(this.#isChunked ? { type: "chunkEnd" } : { type: "head" });
        }
        return at + skipped;
    }

    /** Reads up to the end of the line or of the bytes. @returns where to go on */
    #readLine(type: "head" | "chunkSize" | "chunkEnd" | "trailers", chunk: Buffer, at: number): number {
        const lineEnd = chunk.indexOf(lineFeed, at);
        const end = lineEnd < 0 ? chunk.length : lineEnd + 1;
        this.#bytes += end - at;
        this.#checkBytes(type);
        this.#line += chunk.toString("latin1", at, end);
        if (lineEnd >= 0) {
            const line = this.#line.trimEnd();
            this.#line = "";
            this.#onLine(type, line);
        }
        return end;
    }

    #checkBytes(type: "head" | "chunkSize" | "chunkEnd" | "trailers"): void {
        const { maxHeadBytes, maxChunkSizeBytes, maxTrailerBytes } = this.#limits;
        const part = type === "chunkEnd" ? "chunkSize" : type;
        const limit = { head: maxHeadBytes, chunkSize: maxChunkSizeBytes, trailers: maxTrailerBytes }[part];
        if (this.#bytes > limit) {
            throw new ResponseFramingError(part, limit);
        }
    }

    #onLine(type: "head" | "chunkSize" | "chunkEnd" | "trailers", line: string): void {
        switch (type) {
            case "head":
                this.#onHeadLine(line);
                break;
            case "chunkSize":
                this.#onChunkSize(line);
                break;
            case "chunkEnd":
                this.#begin({ type: "chunkSize" });
                break;
            case "trailers":
                if (line === "") {
                    this.#begin({ type: "head" });
                }
        }
    }

    #onHeadLine(line: string): void {
        if (line !== "") {
            this.#headLines.push(line);
            return;
        }
        // Empty lines ahead of the status line are skipped by HTTP parsers.
        if (this.#headLines.length === 0) {
            return;
        }
        const [first = "", ...headers] = this.#headLines;
        this.#headLines = [];
        const status = Number(statusLine.exec(first)?.[1] ?? 0);
        if (status >= 100 && status < 200 && status !== switchingProtocols) {
            this.#onInterimResponse();
            return;
        }
        // What isn't a response has no payload, so that all of it counts as a head.
        if (status > 0) {
            this.#beginPayload(status, headers);
        }
    }

    #onInterimResponse(): void {
        const { maxInterimResponses } = this.#limits;
        this.#interimResponses++;
        if (this.#interimResponses > maxInterimResponses) {
            throw new ResponseFramingError("interimResponses", maxInterimResponses);
        }
    }

    #beginPayload(status: number, headers: readonly string[]): void {
        const framing = resolveBodyFraming(undefined, status, name => findHeaderValues(headers, name));
        this.#isChunked = framing.type === "chunked" || (framing.type === "encoded" && framing.isChunked);
        if (this.#isChunked) {
            this.#begin({ type: "chunkSize" });
            return;
        }
        if (framing.type === "none" || (framing.type === "length" && framing.bytes === 0)) {
            this.#begin({ type: "head" });
            return;
        }
        this.#begin(
            framing.type === "length" ? { type: "payload", left: framing.bytes } : { type: "payloadUntilClose" },
        );
    }

    #onChunkSize(line: string): void {
        const size = Number.parseInt(line, 16);
        this.#begin(size > 0 ? { type: "payload", left: size } : { type: "trailers" });
    }

    #begin(state: State): void {
        this.#state = state;
        this.#bytes = 0;
        if (state.type === "head") {
            this.#interimResponses = 0;
        }
    }
}

function findHeaderValues(headers: readonly string[], name: string): readonly string[] {
    const values: string[] = [];
    for (const header of headers) {
        const colon = header.indexOf(":");
        if (header.slice(0, colon).toLowerCase() === name) {
            values.push(header.slice(colon + 1).trim());
        }
    }
    return values;
}
