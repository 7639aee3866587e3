import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { resetConnection } from "./resetConnection.js";

/**
 * How a caller's connection ended: its caller closed it or its own side of it, it was reset, or this process destroyed
 * it.
 */
export type DisconnectCause = "closed" | "reset" | "destroyed";

/** Called once when the connection of a request has ended. */
export type DisconnectListener = (cause: DisconnectCause) => void;

interface WatchedConnection {
    cause: DisconnectCause | undefined;
    readonly listeners: Set<DisconnectListener>;
    /** Responses that were neither sent completely nor closed. */
    readonly responses: Set<ServerResponse>;
}

const connections = new WeakMap<Socket, WatchedConnection>();

/**
 * Resets a connection whose caller has closed it, or its side of it, within a response: the HTTP server would end the
 * connection there, so that a part of a response without a declared length would look like all of it. A response that has
 * ended goes on to its caller.
 *
 * Also emits `close` of every response that is outstanding on a connection when the connection closes. Node emits it only for
 * the response that is being written: those that wait behind it for their turn aren't attached to the connection yet.
 *
 * @param server - a server that isn't listening yet
 */
export function enableDisconnects(server: Server): void {
    server.on("connection", (socket: Socket) => {
        // Before the HTTP server's own listener, which ends the connection.
        socket.prependListener("end", () => {
            if (isWithinResponse(socket)) {
                resetConnection(socket, "callerLeft");
            }
        });
    });
    server.prependListener("request", (req: IncomingMessage, res: ServerResponse) => {
        const { responses } = watch(req.socket);
        responses.add(res);
        res.once("close", () => responses.delete(res));
    });
}

/**
 * Watches the connection of a request for its end. All requests of a connection end with it, in whatever order their
 * responses are due. A caller that closes only its own side counts as gone: whether it still reads can't be told before
 * a response is written.
 *
 * @param req - request of a caller
 * @param listener - called once when the connection has ended; during this call, if it has already
 * @returns stops watching
 */
export function onDisconnect({ socket }: IncomingMessage, listener: DisconnectListener): () => void {
    const { cause, listeners } = watch(socket);
    if (cause !== undefined) {
        listener(cause);
        return () => undefined;
    }
    listeners.add(listener);
    return () => listeners.delete(listener);
}

/** @returns whether the connection of a request has ended, so that nobody reads its response */
export function hasDisconnected({ socket }: IncomingMessage): boolean {
    return watch(socket).cause !== undefined;
}

/** @returns the responses that are outstanding on a connection, in the order of their requests */
export function outstandingResponses(socket: Socket): readonly ServerResponse[] {
    return [...connections.get(socket)?.responses ?? []];
}

/** @returns whether a response has begun on a connection, which need not be that of its latest request, and isn't ended */
function isWithinResponse(socket: Socket): boolean {
    // Responses that wait for their turn have no socket yet.
    return outstandingResponses(socket).some(res => res.socket !== null && res.headersSent && !res.writableEnded);
}

function watch(socket: Socket): WatchedConnection {
    const known = connections.get(socket);
    if (known !== undefined) {
        return known;
    }
    const connection: WatchedConnection = {
        cause: socket.destroyed ? "destroyed" : socket.readableEnded ? "closed" : undefined,
        listeners: new Set(),
        responses: new Set(),
    };
    connections.set(socket, connection);
    const end = (cause: DisconnectCause): void => {
        if (connection.cause !== undefined) {
            return;
        }
        connection.cause = cause;
        for (const listener of connection.listeners) {
            listener(cause);
        }
        connection.listeners.clear();
    };
    socket.once("end", () => end("closed"));
    socket.once("error", () => end("reset"));
    socket.once("close", () => {
        end("destroyed");
        closeResponses(connection.responses);
    });
    return connection;
}

/** Closes the responses that the closed connection was never attached to. */
function closeResponses(responses: ReadonlySet<ServerResponse>): void {
    for (const res of [...responses]) {
        if (res.socket === null && !res.closed) {
            res.destroy();
            res.emit("close");
        }
    }
}
