import { type buildConnector } from "undici";
import { BoundedSocket } from "./boundedSocket.js";
import { framingLimits, tcpKeepAliveIdleMs } from "./constants.js";

const defaultPort = 80;

/** A connection that was not opened in time. */
class ConnectTimeoutError extends Error {
    override readonly name = "ConnectTimeoutError";
    /** The code of the HTTP client's own error. */
    readonly code = "UND_ERR_CONNECT_TIMEOUT";
}

/** Options of {@link createConnector}. */
export interface ConnectorOptions {
    /** Timeout for opening a connection, in milliseconds. */
    readonly timeoutMs: number;
    /** Source address; chosen by the operating system if missing. */
    readonly localAddress?: string | undefined;
    /** Idle time after which the operating system begins to send keep-alive probes, in milliseconds. */
    readonly keepAliveIdleMs?: number | undefined;
}

/**
 * Creates the connector of an HTTP client. Every connection of this process to a server goes through one, so that what
 * a server may send outside of a response's payload is bounded.
 *
 * @param options - the timeout and optional settings of its sockets
 * @returns a connector for unencrypted connections
 */
export function createConnector(options: ConnectorOptions): buildConnector.connector {
    const { timeoutMs, localAddress, keepAliveIdleMs = tcpKeepAliveIdleMs } = options;
    return ({ hostname, port }, callback) => {
        const socket = new BoundedSocket(framingLimits);
        // A reset may arrive before the HTTP client listens; an error without a listener ends the process.
        socket.on("error", () => undefined);
        const timer = setTimeout(() => {
            socket.destroy(
                new ConnectTimeoutError(`no connection to ${hostname}:${port} within ${timeoutMs} ms`),
            );
        }, timeoutMs);
        const onError = (err: Error): void => {
            clearTimeout(timer);
            callback(err, null);
        };
        socket.once("error", onError);
        socket.setKeepAlive(true, keepAliveIdleMs);
        socket.setNoDelay(true);
        const target = { host: hostname, port: Number(port === "" ? defaultPort : port) };
        socket.connect({ ...target, ...(localAddress === undefined ? {} : { localAddress }) }, () => {
            clearTimeout(timer);
            socket.off("error", onError);
            callback(null, socket);
        });
    };
}
