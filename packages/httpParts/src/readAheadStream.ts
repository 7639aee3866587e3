import { type IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { type ByteAccount } from "./byteBudget.js";

/** Limits of a {@link ReadAheadStream}. */
export interface ReadAheadLimits {
    /** Maximum number of bytes that one body is read ahead of its reader. */
    readonly maxBytes: number;
    /** Memory that bodies of the process hold together. */
    readonly budget: ByteAccount;
    /** Interval at which a body that exceeded a limit asks for memory again, in milliseconds. */
    readonly retryMs: number;
}

/** Maximum size of a chunk of a body: what one read of its connection returns, in bytes. */
const maxChunkBytes = 65_536;

/**
 * The body of a request, read from its connection before it is asked for. A connection that isn't read shows neither a
 * close by its caller nor a reset. So the body is kept in memory while its reader is slow, within the limits; beyond them
 * the connection is paused until the reader goes on or memory is free.
 */
export class ReadAheadStream extends Readable {
    readonly #req: IncomingMessage;
    readonly #limits: ReadAheadLimits;
    /** Bytes taken from the budget: before a chunk is read, for it and for all that is held. */
    #reservedBytes = 0;
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
        this.#readOn();
    }

    override _destroy(...[err, callback]: Parameters<Readable["_destroy"]>): void {
        clearTimeout(this.#retryTimer);
        this.#limits.budget.giveBack(this.#reservedBytes);
        this.#reservedBytes = 0;
        this.#req.off("data", this.#onData);
        this.#req.off("end", this.#onEnd);
        this.#req.off("error", this.#onError);
        // The rest is discarded.
        this.#req.resume();
        callback(err);
    }

    #add(chunk: Buffer): void {
        const isWanted = this.push(chunk);
        this.#releaseRead();
        if (!isWanted && !this.#tryReserve()) {
            this.#pause();
        }
    }

    #readOn(): void {
        clearTimeout(this.#retryTimer);
        this.#req.resume();
    }

    #pause(): void {
        this.#req.pause();
        this.#retryTimer = setTimeout(() => {
            if (this.#tryReserve()) {
                this.#readOn();
            }
            else {
                this.#pause();
            }
        }, this.#limits.retryMs);
        this.#retryTimer.unref();
    }

    /** @returns whether the memory for what is held and for one more chunk is reserved */
    #tryReserve(): boolean {
        if (this.readableLength > this.#limits.maxBytes) {
            return false;
        }
        const neededBytes = this.readableLength + maxChunkBytes;
        const missingBytes = neededBytes - this.#reservedBytes;
        if (missingBytes > 0) {
            if (!this.#limits.budget.tryTake(missingBytes)) {
                return false;
            }
            this.#reservedBytes = neededBytes;
        }
        return true;
    }

    /** Gives back what was reserved for bytes that the reader has taken out. */
    #releaseRead(): void {
        const excessBytes = this.#reservedBytes - this.readableLength - maxChunkBytes;
        if (excessBytes > 0) {
            this.#limits.budget.giveBack(excessBytes);
            this.#reservedBytes -= excessBytes;
        }
    }
}
