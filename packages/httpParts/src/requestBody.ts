import { createFailure, type Failure } from "@galenaglade/errors";
import { type IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { type Either, Left, Right } from "purify-ts";

/** How much of a streamed body is read before anything is sent. */
export const bodyPrefixBytes = 16_384;

/** How much of a body is taken, and how much of it is held. */
export interface BodyLimits {
    /** Declared length in bytes; `undefined` where the body is sent in chunks. */
    readonly contentLength: number | undefined;
    /** A longer body is refused. */
    readonly maxBytes: number;
    /** A body declared longer than this is streamed. */
    readonly maxBufferedBytes: number;
}

/** A request's body, as attempts send it. */
export abstract class RequestBody {
    /** Whether it can be sent once more. */
    abstract readonly isReplayable: boolean;
    /** The bytes, where all of them are held. */
    abstract readonly buffered: Buffer | undefined;
    /** The first bytes, known before anything is sent: all of a held body, {@link bodyPrefixBytes} of a streamed one. */
    abstract readonly prefix: Buffer;
    /** Length of the whole body. */
    abstract readonly byteLength: number;
    /** @returns what to give to one attempt */
    abstract open(): Buffer | Readable | undefined;
}

const cutShortDetail = "the request's body was cut short";
const lateBodyDetail = "the body did not come in time";

class HeldBody extends RequestBody {
    override readonly isReplayable = true;
    override readonly buffered: Buffer;
    override readonly prefix: Buffer;
    override readonly byteLength: number;

    constructor(held: Buffer) {
        super();
        this.buffered = held;
        this.prefix = held;
        this.byteLength = held.length;
    }

    override open(): Buffer | undefined {
        return this.buffered.length === 0 ? undefined : this.buffered;
    }
}

class StreamedBody extends RequestBody {
    override readonly isReplayable = false;
    override readonly buffered = undefined;
    override readonly prefix: Buffer;
    override readonly byteLength: number;
    readonly #req: IncomingMessage;

    /** @param start - taken from `req` already, and put back */
    constructor(req: IncomingMessage, start: Buffer, bytes: number) {
        super();
        this.#req = req;
        this.prefix = start;
        this.byteLength = bytes;
    }

    /** A failed attempt destroys its body. What it gets is not the caller's own stream, whose connection would go too. */
    override open(): Readable {
        const body = new PassThrough();
        this.#req.once("error", err => body.destroy(err));
        this.#req.pipe(body);
        return body;
    }
}

/**
 * Reads a request's body before anything is sent, so that a slow sender takes up no slot of a backend server, and a
 * try that did not run can be repeated. A body that is declared too large to hold is streamed, and sent once.
 *
 * @param limits - how much is taken and held
 * @param req - where its body comes from
 * @param signal - aborted when the caller's patience ends
 * @returns the body, or why it can't be had
 */
export async function readRequestBody(
    limits: BodyLimits,
    req: IncomingMessage,
    signal: AbortSignal,
): Promise<Either<Failure, RequestBody>> {
    const { contentLength, maxBytes, maxBufferedBytes } = limits;
    if (contentLength === 0) {
        return Right(new HeldBody(Buffer.alloc(0)));
    }
    if (contentLength !== undefined && contentLength > maxBufferedBytes) {
        const start = await peekBody(req, Math.min(bodyPrefixBytes, contentLength), signal);
        return start.map(bytes => new StreamedBody(req, bytes, contentLength));
    }
    const limit = Math.min(maxBufferedBytes, maxBytes);
    return (await holdBody(req, limit, signal)).map(held => new HeldBody(held));
}

/** Reads the first bytes of a body and puts them back. */
function peekBody(req: IncomingMessage, bytes: number, signal: AbortSignal): Promise<Either<Failure, Buffer>> {
    return new Promise(resolve => {
        const settle = (result: Either<Failure, Buffer>): void => {
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
        const onClose = (): void => settle(Left(createFailure("badRequest", cutShortDetail)));
        const onAbort = (): void => settle(Left(createFailure("patienceSpent", lateBodyDetail)));
        req.on("readable", onReadable);
        req.once("close", onClose);
        signal.addEventListener("abort", onAbort, { once: true });
    });
}

function holdBody(req: IncomingMessage, limit: number, signal: AbortSignal): Promise<Either<Failure, Buffer>> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const settle = (result: Either<Failure, Buffer>): void => {
            req.off("data", onData);
            req.off("end", onEnd);
            req.off("close", onClose);
            signal.removeEventListener("abort", onAbort);
            resolve(result);
        };
        const onData = (chunk: Buffer): void => {
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > limit) {
                settle(Left(createFailure("bodyTooLarge", `at most ${limit} bytes are taken`)));
            }
        };
        const onEnd = (): void => settle(Right(Buffer.concat(chunks, bytes)));
        const onClose = (): void => settle(Left(createFailure("badRequest", cutShortDetail)));
        const onAbort = (): void => settle(Left(createFailure("patienceSpent", lateBodyDetail)));
        req.on("data", onData);
        req.once("end", onEnd);
        req.once("close", onClose);
        signal.addEventListener("abort", onAbort, { once: true });
    });
}
