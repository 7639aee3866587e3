import { type ServerResponse } from "node:http";

/**
 * Resets a caller's connection. A mere close would end an answer without a declared length as if it were whole, as
 * callers of HTTP/1.0 get them.
 *
 * @param res - the answer that can't be finished
 */
export function resetCallerConnection(res: ServerResponse): void {
    const { socket } = res;
    if (socket === null || socket.destroyed) {
        res.destroy();
        return;
    }
    socket.resetAndDestroy();
}
