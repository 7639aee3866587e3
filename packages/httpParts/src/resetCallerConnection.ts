import { type ServerResponse } from "node:http";
import { resetConnection } from "./resetConnection.js";

/**
 * Resets a caller's connection (TCP RST). A normal close would mark the end of a response without a declared length, as
 * sent to HTTP/1.0 callers, so that a truncated response would be taken for a complete one.
 *
 * @param res - the response that can't be completed
 */
export function resetCallerConnection(res: ServerResponse): void {
    const { socket } = res;
    if (socket === null || socket.destroyed) {
        res.destroy();
        return;
    }
    resetConnection(socket, "truncated");
}
