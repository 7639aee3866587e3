import { type IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { type ByteBudget } from "./byteBudget.js";

/** Limits of a {@link ReadAheadStream}. */
export interface ReadAheadLimits {
    /** Maximum number of bytes that one body is read ahead of its reader. */
    readonly maxBytes: number;
    /** Bytes that all bodies of the process hold together. */
    readonly budget: ByteBudget;
    /** Time after which a body that exceeded a limit is tried again, in milliseconds. */
    readonly retryMs: number;
}

/**
 * The body of a request, read from its connection before it is asked for. A connection that isn't read shows neither that
 * its caller has closed it nor that it was reset, and an HTTP request's end lies behind its body; so the body is kept in
 * memory while its reader is slow, within the limits. Beyond them the connection is paused until the reader goes on.
 */
export class ReadAheadStream extends Readable {
    readonly #req: IncomingMessage;
    readonly #limits: ReadAheadLimits;
    #takenBytes = 0;
    #retryTimer: NodeJS.Timeout | undefined;
    readonly #onData = (chunk: Buffer): void => this.#add(chunk);
    readonly #onEnd = (): void => {
        // Once the body is whole, the end of the caller's connection doesn't matter to its reader.
        this.#req.off("error", this.#onError);
        this.push(null);
    };
    readonly #onError = (err: Error): void => {
        this.destroy(err);
    };

    /**
     * @param req - request whose body is read from now on
     * @param limits - of the memory
     */
    constructor(req: IncomingMessage, limits: ReadAheadLimits) {
        super();
        this.#req = req;
        this.#limits = limits;
        // The reader may not have attached a listener yet.
        this.on("error", () => undefined);
        req.on("data", this.#onData);
        req.once("end", this.#onEnd);
        req.once("error", this.#onError);
        req.resume();
    }

    override _read(): void {
        this.#releaseRead();
        this.#resume();
    }

    override _destroy(...[err, callback]: Parameters<Readable["_destroy"]>): void {
        clearTimeout(this.#retryTimer);
        this.#limits.budget.giveBack(this.#takenBytes);
        this.#takenBytes = 0;
        this.#req.off("data", this.#onData);
        this.#req.off("end", this.#onEnd);
        this.#req.off("error", this.#onError);
        // The rest is discarded.
        this.#req.resume();
        callback(err);
    }

    #add(chunk: Buffer): void {
        this.#releaseRead();
        const isAhead = !this.push(chunk);
        if (!isAhead) {
            return;
        }
        const isKept = this.readableLength <= this.#limits.maxBytes && this.#limits.budget.tryTake(chunk.length);
        if (isKept) {
            this.#takenBytes += chunk.length;
            return;
        }
        this.#req.pause();
        clearTimeout(this.#retryTimer);
        this.#retryTimer = setTimeout(() => {
            if (this.readableLength <= this.#limits.maxBytes) {
                this.#resume();
            }
        }, this.#limits.retryMs);
        this.#retryTimer.unref();
    }

    #resume(): void {
        clearTimeout(this.#retryTimer);
        this.#req.resume();
    }

    /** Gives back what the reader has taken out. */
    #releaseRead(): void {
        const readBytes = this.#takenBytes - this.readableLength;
        if (readBytes > 0) {
            this.#limits.budget.giveBack(readBytes);
            this.#takenBytes -= readBytes;
        }
    }
}
