import { type Socket } from "node:net";

/**
 * Why a connection is reset: its caller has left amid a response, a response can't be completed, a request within a
 * response can't be read, the process stops, a send was given up, callers hold too much memory, or a stand-in's fault.
 */
export type ResetReason = "callerLeft" | "truncated" | "malformed" | "stopping" | "sendAbandoned" | "memory" | "fault";

const reasons = new WeakMap<Socket, ResetReason>();

/**
 * Resets a connection (TCP RST), and discards what is still to be written. A normal close would mark the end of a
 * response without a declared length, so that a truncated response would be taken for a complete one.
 *
 * While the operating system is being told of the end of the output, a reset fails (libuv: EINVAL), and Node never closes
 * the socket afterwards: its descriptor stays open for as long as the process runs. Such a socket is closed normally,
 * since its peer gets the end that was begun anyway. All resets go through this function.
 *
 * @param socket - the connection, in any state
 * @param reason - why it is reset
 */
export function resetConnection(socket: Socket, reason: ResetReason): void {
    if (socket.destroyed) {
        return;
    }
    reasons.set(socket, reason);
    // All output is with the operating system, and the end behind it isn't confirmed yet.
    const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    // A reset of a socket without a connection waits for it, or fails.
    if (socket.pending || isEnding) {
        socket.destroy();
        return;
    }
    // eslint-disable-next-line no-restricted-properties -- the one place
    socket.resetAndDestroy();
}

/** @returns why this process reset a connection; `undefined` if it didn't */
export function resetReasonOf(socket: Socket): ResetReason | undefined {
    return reasons.get(socket);
}
