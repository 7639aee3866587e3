import { type Socket } from "node:net";

/** Maximum time for which a closed connection still reads what its caller sends, in milliseconds. */
export const maxLingerMs = 1_000;

/**
 * Closes a caller's connection once everything written to it was sent, and discards what the caller still sends until it
 * closes its side. A connection that is closed with unread input is reset, and a reset discards responses that the
 * caller hasn't read yet (RFC 9112, section 9.6).
 *
 * @param socket - the caller's connection
 */
export function closeLingering(socket: Socket): void {
    if (socket.destroyed || socket.writableEnded) {
        return;
    }
    socket.end(() => {
        const timer = setTimeout(() => socket.destroy(), maxLingerMs);
        timer.unref();
        socket.once("close", () => clearTimeout(timer));
        socket.resume();
    });
}
