/** How a response's framing says where its body ends. */
export type ResponseFraming = "length" | "chunked" | "untilClose";

/** A complete response as a caller received it, judged by its framing alone (RFC 9112, section 6.3). */
export interface ParsedResponse {
    readonly status: number;
    /** By lower-case name. */
    readonly headers: Readonly<Record<string, string>>;
    readonly framing: ResponseFraming;
    readonly body: string;
    /** Whether its connection closes, as it announces or by its framing. */
    readonly closes: boolean;
}

/** The head of a response. */
interface ResponseHead extends Omit<ParsedResponse, "body"> {
    readonly bodyStart: number;
}

/** A body, and the index behind it. */
interface ParsedBody {
    readonly body: string;
    readonly end: number;
}

const headEnd = Buffer.from("\r\n\r\n");
const lineEnd = Buffer.from("\r\n");
const statusLinePattern = /^HTTP\/1\.[01] (\d{3})(?: |$)/;
const chunkSizePattern = /^[0-9a-f]+$/i;

/** Splits the bytes of a connection into responses. */
export class ResponseParser {
    readonly #chunks: Buffer[] = [];
    #bytes = 0;
    /** Bytes needed before parsing can go on. */
    #neededBytes = 1;

    /**
     * @param chunk - received bytes
     * @returns the responses that are complete now
     * @throws Error for bytes that are no response
     */
    *add(chunk: Buffer): Iterable<ParsedResponse> {
        this.#chunks.push(chunk);
        this.#bytes += chunk.length;
        while (this.#bytes >= this.#neededBytes) {
            const received = Buffer.concat(this.#chunks.splice(0));
            const res = this.#parse(received);
            if (res === undefined) {
                this.#chunks.push(received);
                return;
            }
            this.#bytes = received.length - res.bytes;
            this.#chunks.push(received.subarray(res.bytes));
            this.#neededBytes = 1;
            yield res.response;
        }
    }

    /** @returns the response that the normal end of the connection completes; `undefined` if there is none */
    end(): ParsedResponse | undefined {
        const received = Buffer.concat(this.#chunks);
        const head = parseHead(received);
        if (head?.framing !== "untilClose") {
            return undefined;
        }
        return createResponse(head, received.subarray(head.bodyStart).toString("latin1"));
    }

    #parse(received: Buffer): { readonly response: ParsedResponse; readonly bytes: number; } | undefined {
        const head = parseHead(received);
        if (head === undefined) {
            this.#neededBytes = received.length + 1;
            return undefined;
        }
        const parsed = this.#parseBody(received, head);
        return parsed && { response: createResponse(head, parsed.body), bytes: parsed.end };
    }

    #parseBody(received: Buffer, { framing, headers, bodyStart }: ResponseHead): ParsedBody | undefined {
        switch (framing) {
            case "length": {
                const end = bodyStart + Number(headers["content-length"]);
                this.#neededBytes = end;
                return received.length < end
                    ? undefined
                    : { body: received.subarray(bodyStart, end).toString("latin1"), end };
            }
            case "chunked":
                this.#neededBytes = received.length + 1;
                return parseChunks(received, bodyStart);
            case "untilClose":
                this.#neededBytes = Infinity;
                return undefined;
        }
    }
}

function createResponse({ status, headers, framing, closes }: ResponseHead, body: string): ParsedResponse {
    return { status, headers, framing, body, closes };
}

function parseHead(received: Buffer): ResponseHead | undefined {
    const headBytes = received.indexOf(headEnd);
    if (headBytes < 0) {
        return undefined;
    }
    const [statusLine = "", ...lines] = received.subarray(0, headBytes).toString("latin1").split("\r\n");
    const status = statusLinePattern.exec(statusLine)?.[1];
    if (status === undefined) {
        throw new Error(`no response: ${statusLine.slice(0, 80)}`);
    }
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const framing = resolveFraming(headers);
    return {
        status: Number(status),
        headers,
        framing,
        closes: headers["connection"] === "close" || framing === "untilClose",
        bodyStart: headBytes + headEnd.length,
    };
}

function resolveFraming(headers: Readonly<Record<string, string>>): ResponseFraming {
    const coding = headers["transfer-encoding"];
    if (coding !== undefined) {
        return coding.toLowerCase().endsWith("chunked") ? "chunked" : "untilClose";
    }
    return headers["content-length"] === undefined ? "untilClose" : "length";
}

/** @returns the body of a response in chunks; `undefined` if its last chunk is missing */
function parseChunks(received: Buffer, bodyStart: number): ParsedBody | undefined {
    const parts: string[] = [];
    let at = bodyStart;
    for (let sizeEnd = received.indexOf(lineEnd, at); sizeEnd >= 0; sizeEnd = received.indexOf(lineEnd, at)) {
        const size = received.subarray(at, sizeEnd).toString("latin1").split(";")[0] ?? "";
        if (!chunkSizePattern.test(size)) {
            throw new Error(`no chunk: ${size.slice(0, 80)}`);
        }
        const start = sizeEnd + lineEnd.length;
        const bytes = Number.parseInt(size, 16);
        // Callers of a soak get no trailers.
        const end = start + bytes + lineEnd.length;
        if (received.length < end) {
            return undefined;
        }
        if (bytes === 0) {
            return { body: parts.join(""), end };
        }
        parts.push(received.subarray(start, start + bytes).toString("latin1"));
        at = end;
    }
    return undefined;
}
