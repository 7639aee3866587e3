import { type BodyFraming, type EmbeddedHead, EmbeddedHeadScanner } from "@galenaglade/http-parts";

/** How a response's body was framed, and how much of it was received. */
export interface BodyReport {
    readonly framing: BodyFraming["type"];
    /** Declared length, in bytes; `undefined` if the response declared none. */
    readonly declaredBytes: number | undefined;
    readonly receivedBytes: number;
}

/**
 * The body of one response while it is received. A server that begins a response and then sends it again from its start
 * fills the first one's body with the second one's head: the length is right, the bytes are not.
 */
export class ResponseBody {
    readonly #framing: BodyFraming;
    readonly #isRepeat: (head: EmbeddedHead) => boolean;
    readonly #scanner = new EmbeddedHeadScanner();
    #receivedBytes = 0;
    #isRepeated = false;

    /**
     * @param framing - how its end is marked
     * @param isRepeat - whether a head that is found in it belongs to a response to the same request
     */
    constructor(framing: BodyFraming, isRepeat: (head: EmbeddedHead) => boolean) {
        this.#framing = framing;
        this.#isRepeat = isRepeat;
    }

    /** Whether the response began again within its body. */
    get isRepeated(): boolean {
        return this.#isRepeated;
    }

    /**
     * Processes received bytes.
     *
     * @param chunk - the body's next bytes
     * @returns bytes that may be passed on, in their order; the others are held back
     */
    onData(chunk: Buffer): Buffer {
        this.#receivedBytes += chunk.length;
        const { cleared, heads } = this.#scanner.scan(chunk);
        this.#isRepeated ||= heads.some(this.#isRepeat);
        return cleared;
    }

    /**
     * Processes the body's end.
     *
     * @param behind - bytes that lie behind the body, where a head that began in it may end
     * @returns the bytes that were held back
     */
    onEnd(behind: Buffer | undefined): Buffer {
        const completed = this.#scanner.completeWith(behind);
        this.#isRepeated ||= completed !== undefined && this.#isRepeat(completed);
        return this.#scanner.release();
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
