import { Socket } from "node:net";
import { whenInputRead } from "../pendingInput.js";
import { type FramingLimits, ResponseFraming, ResponseFramingError } from "./responseFraming.js";

/**
 * A connection that was reset while a response was being received. It has a code of its own: the HTTP client takes an
 * `ECONNRESET` behind a response for the response's end.
 */
export class ResponseResetError extends Error {
    override readonly name = "ResponseResetError";
    readonly code = "ERR_RESPONSE_RESET";

    /** @param cause - error of the connection */
    constructor(cause: Error) {
        super(`the connection was reset within a response (${cause.message})`, { cause });
    }
}

const resetCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE"]);
const noBytes = Buffer.alloc(0);
/** Marks the end of a stream's bytes. */
const endOfStream = null;

/**
 * The socket of an HTTP client, which judges what arrives before the HTTP parser gets it:
 *
 * - a response that exceeds a limit destroys it with a {@link ResponseFramingError};
 * - a reset within a response, or a destroy without an error, destroys it with a {@link ResponseResetError};
 * - the end of a response that ends with the connection is confirmed not to be a reset;
 * - the end is passed on only while the reader isn't paused. The HTTP client (undici 7) reads until it gets `null` unless
 *   it is paused, and gives back the bytes that it hasn't parsed, which may be none, when it pauses.
 */
export class BoundedSocket extends Socket {
    readonly #framing: ResponseFraming;
    #bytesBehindBody: Buffer | undefined;
    /** Whether the reader has asked for bytes behind those that it has read, so that it isn't paused. */
    #isDrained = true;
    #hasEnded = false;

    /** @param limits - of the parts of a response that aren't payload */
    constructor(limits: FramingLimits) {
        super();
        this.#framing = new ResponseFraming(limits);
    }

    /** Bytes that were read together with the end of a response's body and lie behind it; `undefined` if there are none. */
    get bytesBehindBody(): Buffer | undefined {
        return this.#bytesBehindBody;
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (this.destroyed) {
            return super.push(chunk, encoding);
        }
        if (chunk === endOfStream) {
            this.#onEnd();
            return false;
        }
        if (!Buffer.isBuffer(chunk)) {
            return super.push(chunk, encoding);
        }
        try {
            this.#framing.onBytes(chunk);
        }
        catch (err) {
            if (!(err instanceof ResponseFramingError)) {
                throw err;
            }
            this.destroy(err);
            return false;
        }
        const { bodyEnd } = this.#framing;
        if (bodyEnd !== undefined) {
            this.#bytesBehindBody = bodyEnd < chunk.length ? chunk.subarray(bodyEnd) : undefined;
        }
        this.#isDrained = false;
        return super.push(chunk, encoding);
    }

    /** The HTTP client gives back what it hasn't parsed, which may be nothing, whenever it is paused. */
    override unshift(chunk: unknown, encoding?: BufferEncoding): void {
        this.#isDrained = false;
        super.unshift(chunk, encoding);
    }

    override read(size?: number): unknown {
        const read: unknown = super.read(size);
        if (size === undefined && read === null && !this.#isDrained) {
            this.#isDrained = true;
            // The reader may still be processing its last bytes.
            setImmediate(() => this.#passEndOn());
        }
        return read;
    }

    override destroy(err?: NodeJS.ErrnoException): this {
        const isWithinResponse = this.#framing.isReceiving || !this.#isDrained;
        if (!isWithinResponse || this.destroyed || this.readableEnded) {
            return super.destroy(err);
        }
        // Without an error the HTTP client takes the close for the end of the response.
        const cause = err ?? new Error("destroyed by this process");
        return super.destroy(err === undefined || resetCodes.has(err.code) ? new ResponseResetError(cause) : err);
    }

    /**
     * Confirms the end of a response that ends with its connection: libuv reports bytes and a reset that it finds in one
     * poll as bytes and an end. Only a write then fails, also an empty one, and destroys the socket.
     */
    #onEnd(): void {
        if (!this.#framing.isOpenEnded) {
            this.#hasEnded = true;
            this.#passEndOn();
            return;
        }
        const onConfirmed = (): void => {
            this.#hasEnded = true;
            this.#passEndOn();
        };
        if (this.writableLength > 0) {
            // The bytes that wait to be written show a reset by themselves; an empty write would wait behind them.
            void whenInputRead().then(onConfirmed);
            return;
        }
        this.write(noBytes, err => {
            if (!(err instanceof Error)) {
                onConfirmed();
            }
        });
    }

    /** Passes the end on once the reader isn't paused: the HTTP client fails an assertion if it gets the end while it is. */
    #passEndOn(): void {
        if (this.#hasEnded && this.#isDrained && !this.destroyed && !this.readableEnded) {
            super.push(endOfStream);
            // Lets the end be emitted although nobody waits for more bytes.
            this.read(0);
        }
    }
}
