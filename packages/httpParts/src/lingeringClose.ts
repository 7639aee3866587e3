import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

/** Time without input after which a closed connection is no longer read, in milliseconds. */
export const lingerIdleMs = 1_000;

/** Maximum time for which a closed connection still reads what its caller sends, in milliseconds. */
export const maxLingerMs = 30_000;

/** Maximum number of bytes that a closed connection still reads, unless the rest of a declared body is due. */
export const maxLingerBytes = 1_048_576;

/** Maximum number of bytes that a closed connection still reads of a declared body. */
export const maxLingerBodyBytes = 67_108_864;

const checkPeriodMs = 100;

/**
 * Closes a caller's connection once everything written to it was sent, and discards what the caller still sends until it
 * closes its side, stops sending, or reaches a limit. A connection that is closed with unread input is reset, and a
 * reset discards responses that the caller hasn't read yet (RFC 9112, section 9.6).
 *
 * @param socket - the caller's connection
 * @param maxBytes - maximum number of bytes to discard
 */
export function closeLingering(socket: Socket, maxBytes: number = maxLingerBytes): void {
    if (socket.destroyed || socket.writableEnded) {
        return;
    }
    socket.end(() => {
        destroyWhenSilent(socket, maxBytes);
        socket.resume();
    });
}

/**
 * Makes all connections of a server close lingering, and discards the rest of a request that was answered before all of
 * it was read: what a request's reader has left unread would keep the connection paused.
 *
 * @param server - a server that isn't listening yet
 */
export function enableLingeringClose(server: Server): void {
    const dueBytes = new WeakMap<Socket, number>();
    server.on("connection", (socket: Socket) => {
        // The HTTP server calls this after a response that closes the connection.
        socket.destroySoon = () => closeLingering(socket, dueBytes.get(socket));
    });
    server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => {
        // Not on `finish`: a caller that reads nothing until its body is sent would never get a large response.
        res.once("prefinish", () => {
            if (!req.complete) {
                const declaredBytes = Number(req.headers["content-length"] ?? 0);
                dueBytes.set(req.socket, Math.min(maxLingerBytes + declaredBytes, maxLingerBodyBytes));
                req.unpipe();
                req.resume();
            }
        });
    });
}

function destroyWhenSilent(socket: Socket, maxBytes: number): void {
    const startedAtMs = performance.now();
    const bytesAtStart = socket.bytesRead;
    let bytesRead = bytesAtStart;
    let lastInputAtMs = startedAtMs;
    const timer = setInterval(() => {
        const nowMs = performance.now();
        if (socket.bytesRead > bytesRead) {
            bytesRead = socket.bytesRead;
            lastInputAtMs = nowMs;
        }
        const isOver = nowMs - lastInputAtMs >= lingerIdleMs || nowMs - startedAtMs >= maxLingerMs
            || bytesRead - bytesAtStart > maxBytes;
        if (isOver) {
            socket.destroy();
        }
    }, checkPeriodMs);
    timer.unref();
    socket.once("close", () => clearInterval(timer));
}
