import { Socket } from "node:net";

/** A connection that its other side reset. */
export class ConnectionResetError extends Error {
    override readonly name = "ConnectionResetError";
    /** Differs from `ECONNRESET`, which HTTP clients may take for the end of a response. */
    readonly code = "ERR_RESET_BY_PEER";

    /** @param cause - error of the socket */
    constructor(cause: Error) {
        super(cause.message, { cause });
    }
}

const resetCodes: ReadonlySet<string | undefined> = new Set(["ECONNRESET", "EPIPE"]);
const noBytes = Buffer.alloc(0);
/** Marks the end of a stream's bytes. */
const endOfStream = null;

/**
 * A client's socket that tells a reset from a close however late its process reads: a reset that is found together with
 * bytes looks like their end, and only a write, even an empty one, then fails.
 */
export class ConfirmedSocket extends Socket {
    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (chunk !== endOfStream || this.destroyed || this.writableEnded) {
            return super.push(chunk, encoding);
        }
        this.write(noBytes, err => {
            if (err instanceof Error) {
                return;
            }
            super.push(endOfStream);
            // Lets the end be emitted although nobody waits for more bytes.
            this.read(0);
        });
        return false;
    }

    override destroy(err?: NodeJS.ErrnoException): this {
        return super.destroy(err !== undefined && resetCodes.has(err.code) ? new ConnectionResetError(err) : err);
    }
}

/** @returns a socket that is connecting to a port on 127.0.0.1 */
export function connectConfirmed(port: number, allowHalfOpen = false): ConfirmedSocket {
    const socket = new ConfirmedSocket({ allowHalfOpen });
    socket.setNoDelay(true);
    return socket.connect(port, "127.0.0.1");
}
