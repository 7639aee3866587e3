import { connectConfirmed } from "@galenaglade/stand-ins";
import { type buildConnector } from "undici";

/** A gateway that didn't accept a connection in time. */
class ConnectTimeoutError extends Error {
    override readonly name = "ConnectTimeoutError";
    /** The code of the HTTP client's own error. */
    readonly code = "UND_ERR_CONNECT_TIMEOUT";
}

/**
 * Creates the connector of a caller, whose connections tell a reset from a close.
 *
 * @param timeoutMs - timeout for opening a connection, in milliseconds
 */
export function createCallerConnector(timeoutMs: number): buildConnector.connector {
    return ({ port }, callback) => {
        const socket = connectConfirmed(Number(port));
        const timer = setTimeout(() => socket.destroy(new ConnectTimeoutError(`no connection to ${port}`)), timeoutMs);
        const onError = (err: Error): void => {
            clearTimeout(timer);
            callback(err, null);
        };
        socket.once("error", onError);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.off("error", onError);
            callback(null, socket);
        });
    };
}
