import { type BodyFraming } from "@galenaglade/http-parts";

/** How a response's body was framed, and how much of it was received. */
export interface BodyReport {
    readonly framing: BodyFraming["type"];
    /** Declared length, in bytes; `undefined` if the response declared none. */
    readonly declaredBytes: number | undefined;
    readonly receivedBytes: number;
}

/** The body of one response while it is received. */
export class ResponseBody {
    readonly #framing: BodyFraming;
    #receivedBytes = 0;

    /** @param framing - how its end is marked */
    constructor(framing: BodyFraming) {
        this.#framing = framing;
    }

    /** Counts received bytes. */
    onData(chunk: Buffer): void {
        this.#receivedBytes += chunk.length;
    }

    /** @returns what is known of the body so far */
    report(): BodyReport {
        const framing = this.#framing;
        return {
            framing: framing.type,
            declaredBytes: framing.type === "length" ? framing.bytes : undefined,
            receivedBytes: this.#receivedBytes,
        };
    }
}
