/** A complete response as a caller received it. */
export interface ParsedResponse {
    readonly status: number;
    /** By lower-case name. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** Whether it announces that its connection closes. */
    readonly closes: boolean;
}

const headEnd = Buffer.from("\r\n\r\n");

/** Splits the bytes of a connection into responses that declare their length. */
export class ResponseParser {
    readonly #chunks: Buffer[] = [];
    #bytes = 0;
    /** Bytes needed before parsing can go on. */
    #neededBytes = 1;

    /**
     * @param chunk - received bytes
     * @returns the responses that are complete now
     * @throws Error for a response without a declared length
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

    #parse(received: Buffer): { readonly response: ParsedResponse; readonly bytes: number; } | undefined {
        const headBytes = received.indexOf(headEnd);
        if (headBytes < 0) {
            this.#neededBytes = received.length + 1;
            return undefined;
        }
        const [statusLine = "", ...lines] = received.subarray(0, headBytes).toString("latin1").split("\r\n");
        const headers = Object.fromEntries(lines.map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }));
        const length = Number(headers["content-length"]);
        if (!Number.isInteger(length)) {
            throw new Error(`a response declares no length: ${statusLine}`);
        }
        const bodyStart = headBytes + headEnd.length;
        const bytes = bodyStart + length;
        if (received.length < bytes) {
            this.#neededBytes = bytes;
            return undefined;
        }
        const body = received.subarray(bodyStart, bytes).toString("latin1");
        const status = Number(statusLine.split(" ")[1]);
        return { response: { status, headers, body, closes: headers["connection"] === "close" }, bytes };
    }
}
