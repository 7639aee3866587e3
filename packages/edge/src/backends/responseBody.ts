import { type BodyFraming, findHeaders, type RawHeaders, resolveBodyFraming } from "@galenaglade/http-parts";

/** How a response's body was framed, and how much of it was received. */
export interface BodyReport {
    readonly framing: BodyFraming["type"];
    /** Declared length, in bytes; `undefined` if the response declared none. */
    readonly declaredBytes: number | undefined;
    readonly receivedBytes: number;
}

/** The body of one response while it is received. */
export class ResponseBody {
    readonly framing: BodyFraming;
    #receivedBytes = 0;

    /**
     * @param method - method of the request
     * @param head - status and headers of the response
     */
    constructor(method: string, { status, headers }: { readonly status: number; readonly headers: RawHeaders; }) {
        this.framing = resolveBodyFraming(method, status, name => findHeaders(headers, name));
    }

    /** Counts received bytes. */
    onData(chunk: Buffer): void {
        this.#receivedBytes += chunk.length;
    }

    /** @returns what is known of the body so far */
    report(): BodyReport {
        const { framing } = this;
        return {
            framing: framing.type,
            declaredBytes: framing.type === "length" ? framing.bytes : undefined,
            receivedBytes: this.#receivedBytes,
        };
    }
}
