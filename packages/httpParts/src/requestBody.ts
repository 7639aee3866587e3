import { createFailure, type Failure } from "@galenaglade/errors";
import { type IncomingMessage } from "node:http";
import { type Readable } from "node:stream";
import { type Either, Left, Right } from "purify-ts";
import { ByteBudget } from "./byteBudget.js";
import { ByteCollector } from "./byteCollector.js";
import { type ConnectionMemory, memoryConnections } from "./connectionMemory.js";
import { ReadAheadStream } from "./readAheadStream.js";

/** Bytes of a streamed body that are read before a request is sent. */
export const bodyPrefixBytes = 16_384;

/** Maximum number of bytes of one body that are kept in memory while its server doesn't read them. */
export const maxReadAheadBytes = 16_777_216;

/** Maximum number of bytes that streamed bodies keep in memory together whose connections aren't accounted for. */
export const maxTotalReadAheadBytes = 67_108_864;

const unaccounted = new ByteBudget(maxTotalReadAheadBytes);

/** What a streamed body takes besides what is read ahead: what its connection and that to its server are passing on. */
const streamCostBytes = 131_072;

/** Interval at which a streamed body asks again for memory that wasn't free, in milliseconds. */
const readAheadRetryMs = 100;

/** Size limits of a request body. */
export interface BodyLimits {
    /** Declared length in bytes; `undefined` for chunked transfer encoding. */
    readonly contentLength: number | undefined;
    /** Longer bodies are refused, in bytes. */
    readonly maxBytes: number;
    /** Bodies with a longer declared length are streamed instead of buffered, in bytes. */
    readonly maxBufferedBytes: number;
}

/** Body of a caller's request, which one or more attempts send to a backend server. */
export abstract class RequestBody {
    /** Whether it can be sent more than once. */
    abstract readonly isReplayable: boolean;
    /** The whole body if it is buffered. */
    abstract readonly buffered: Buffer | undefined;
    /**
     * The first bytes, available before the request is sent: all of a buffered body, {@link bodyPrefixBytes} of a
     * streamed one.
     */
    abstract readonly prefix: Buffer;
    /** Length of the whole body in bytes. */
    abstract readonly byteLength: number;
    /** @returns the body for one attempt; `undefined` if it is empty */
    abstract open(): Buffer | Readable | undefined;
    /** Discards what was not sent, once no attempt is in flight. */
    abstract close(): void;
}

const truncatedBodyDetail = "the request's body was cut short";
const lateBodyDetail = "the body did not come in time";
const noMemoryDetail = "this host has no memory for the rest of the body";

class BufferedBody extends RequestBody {
    override readonly isReplayable = true;
    override readonly buffered: Buffer;
    override readonly prefix: Buffer;
    override readonly byteLength: number;

    readonly #release: () => void;

    /** @param release - called once the body isn't needed any more */
    constructor(held: Buffer, release: () => void = () => undefined) {
        super();
        this.buffered = held;
        this.prefix = held;
        this.byteLength = held.length;
        this.#release = release;
    }

    override open(): Buffer | undefined {
        return this.buffered.length === 0 ? undefined : this.buffered;
    }

    override close(): void {
        this.#release();
    }
}

/** A body that is sent while it arrives. It can be sent once. */
class StreamedBody extends RequestBody {
    override readonly isReplayable = false;
    override readonly buffered = undefined;
    override readonly prefix: Buffer;
    override readonly byteLength: number;
    readonly #stream: ReadAheadStream;
    readonly #memory: ConnectionMemory | undefined;
    #isClosed = false;

    /** @param start - first bytes, which were read from `req` and put back */
    constructor(req: IncomingMessage, start: Buffer, bytes: number) {
        super();
        this.prefix = start;
        this.byteLength = bytes;
        this.#memory = memoryConnections.get(req.socket);
        this.#memory?.hold("body", streamCostBytes);
        this.#stream = new ReadAheadStream(req, {
            maxBytes: maxReadAheadBytes,
            budget: this.#memory ?? unaccounted,
            retryMs: readAheadRetryMs,
        });
    }

    /** Returns a separate stream: a failed attempt destroys it, and destroying `req` would close the connection. */
    override open(): Readable {
        return this.#stream;
    }

    override close(): void {
        this.#stream.destroy();
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#memory?.release("body", streamCostBytes);
        }
    }
}

/**
 * Reads a request's body before the request is sent, so that a slow caller occupies no slot of a backend server and an
 * attempt that did not run can be retried. A body whose declared length exceeds the buffer limit is streamed and can be
 * sent only once.
 *
 * @param limits - size limits
 * @param req - the caller's request
 * @param signal - aborted when the caller's patience ends
 * @returns the body, or the reason why it can't be read
 */
export async function readRequestBody(
    limits: BodyLimits,
    req: IncomingMessage,
    signal: AbortSignal,
): Promise<Either<Failure, RequestBody>> {
    const { contentLength, maxBytes, maxBufferedBytes } = limits;
    if (contentLength === 0) {
        return Right(new BufferedBody(Buffer.alloc(0)));
    }
    if (contentLength !== undefined && contentLength > maxBufferedBytes) {
        const start = await peekBody(req, Math.min(bodyPrefixBytes, contentLength), signal);
        return start.map(bytes => new StreamedBody(req, bytes, contentLength));
    }
    const limit = Math.min(maxBufferedBytes, maxBytes);
    return await bufferBody(req, limit, signal);
}

/** Reads the first bytes of a body and puts them back. */
function peekBody(req: IncomingMessage, bytes: number, signal: AbortSignal): Promise<Either<Failure, Buffer>> {
    const memory = memoryConnections.get(req.socket);
    return new Promise(resolve => {
        const settle = (result: Either<Failure, Buffer>): void => {
            stopRefusing?.();
            memory?.release("body", bytes);
            req.off("readable", onReadable);
            req.off("close", onClose);
            signal.removeEventListener("abort", onAbort);
            resolve(result);
        };
        const onReadable = (): void => {
            const start: unknown = req.read(bytes);
            if (Buffer.isBuffer(start)) {
                req.unshift(start);
                settle(Right(start));
            }
        };
        const onClose = (): void => settle(Left(createFailure("badRequest", truncatedBodyDetail)));
        const onAbort = (): void => settle(Left(createFailure("patienceSpent", lateBodyDetail)));
        const stopRefusing = memory?.whileRefusable(() => settle(Left(createFailure("overloaded", noMemoryDetail))));
        req.on("readable", onReadable);
        req.once("close", onClose);
        signal.addEventListener("abort", onAbort, { once: true });
        // May refuse this request.
        memory?.hold("body", bytes);
    });
}

function bufferBody(
    req: IncomingMessage,
    limit: number,
    signal: AbortSignal,
): Promise<Either<Failure, RequestBody>> {
    const memory = memoryConnections.get(req.socket);
    return new Promise(resolve => {
        const collector = new ByteCollector();
        let heldBytes = 0;
        let isSettled = false;
        const settle = (result: Either<Failure, RequestBody>): void => {
            isSettled = true;
            req.off("data", onData);
            req.off("end", onEnd);
            req.off("close", onClose);
            signal.removeEventListener("abort", onAbort);
            stopRefusing?.();
            collector.clear();
            memory?.release("body", heldBytes);
            resolve(result);
        };
        const fail = (failure: Failure): void => settle(Left(failure));
        const onData = (chunk: Buffer): void => {
            collector.add(chunk);
            if (collector.byteLength > limit) {
                fail(createFailure("bodyTooLarge", `at most ${limit} bytes are taken`));
                return;
            }
            const moreBytes = collector.costBytes - heldBytes;
            if (moreBytes > 0) {
                heldBytes += moreBytes;
                // May refuse this request.
                memory?.hold("body", moreBytes);
            }
        };
        const onEnd = (): void => {
            const body = collector.concat();
            memory?.release("body", heldBytes);
            heldBytes = 0;
            memory?.hold("wholeBody", body.length);
            settle(Right(new BufferedBody(body, () => memory?.release("wholeBody", body.length))));
        };
        const onClose = (): void => fail(createFailure("badRequest", truncatedBodyDetail));
        const onAbort = (): void => fail(createFailure("patienceSpent", lateBodyDetail));
        const stopRefusing = memory?.whileRefusable(() => {
            if (!isSettled) {
                fail(createFailure("overloaded", noMemoryDetail));
            }
        });
        req.on("data", onData);
        req.once("end", onEnd);
        req.once("close", onClose);
        signal.addEventListener("abort", onAbort, { once: true });
    });
}
