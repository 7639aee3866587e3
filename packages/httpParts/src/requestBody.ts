import { createFailure, type Failure } from "@galenaglade/errors";
import { type IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { type Either, Left, Right } from "purify-ts";

/** How much of a body is taken, and how much of it is held. */
export interface BodyLimits {
    /** Declared length in bytes; `undefined` where the body is sent in chunks. */
    readonly bodyBytes: number | undefined;
    /** A longer body is refused. */
    readonly maximumBytes: number;
    /** A body declared longer than this is streamed. */
    readonly heldBytes: number;
}

/** A request's body, as attempts send it. */
export abstract class RequestBody {
    /** Whether it can be sent once more. */
    abstract readonly repeatable: boolean;
    /** The bytes, where all of them are held. */
    abstract readonly held: Buffer | undefined;
    /** @returns what to give to one attempt */
    abstract open(): Buffer | Readable | undefined;
}

class HeldBody extends RequestBody {
    override readonly repeatable = true;
    override readonly held: Buffer;

    constructor(held: Buffer) {
        super();
        this.held = held;
    }

    override open(): Buffer | undefined {
        return this.held.length === 0 ? undefined : this.held;
    }
}

class StreamedBody extends RequestBody {
    override readonly repeatable = false;
    override readonly held = undefined;
    readonly #req: IncomingMessage;

    constructor(req: IncomingMessage) {
        super();
        this.#req = req;
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
    const { bodyBytes, maximumBytes, heldBytes } = limits;
    if (bodyBytes === 0) {
        return Right(new HeldBody(Buffer.alloc(0)));
    }
    if (bodyBytes !== undefined && bodyBytes > heldBytes) {
        return Right(new StreamedBody(req));
    }
    const limit = Math.min(heldBytes, maximumBytes);
    return (await holdBody(req, limit, signal)).map(held => new HeldBody(held));
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
        const onClose = (): void => settle(Left(createFailure("badRequest", "the request's body was cut short")));
        const onAbort = (): void => settle(Left(createFailure("patienceSpent", "the body did not come in time")));
        req.on("data", onData);
        req.once("end", onEnd);
        req.once("close", onClose);
        signal.addEventListener("abort", onAbort, { once: true });
    });
}
