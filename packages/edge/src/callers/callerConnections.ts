import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

interface ConnectionState {
    /** Latest request on the connection. */
    latest: IncomingMessage;
    unanswered: number;
    /** Whether the response that closes the connection is being written. */
    closing: boolean;
}

/**
 * Tracks callers' connections and the outstanding requests on each. With HTTP pipelining, responses are due in the
 * order of the requests. So while the process drains, a connection is closed only with the response to its latest
 * request: closed earlier, requests that were already forwarded would get no response.
 */
export class CallerConnections {
    readonly #states = new Map<Socket, ConnectionState>();
    #unanswered = 0;
    #draining = false;

    /** Number of requests whose response is not complete. */
    get unanswered(): number {
        return this.#unanswered;
    }

    /** @returns whether to handle the request: not if its connection is already closing with an earlier response */
    onRequest(req: IncomingMessage, res: ServerResponse): boolean {
        const { socket } = req;
        const state = this.#states.get(socket);
        if (state?.closing === true) {
            return false;
        }
        if (state === undefined) {
            this.#states.set(socket, { latest: req, unanswered: 1, closing: false });
            socket.once("close", () => this.#states.delete(socket));
        }
        else {
            state.latest = req;
            state.unanswered++;
        }
        this.#unanswered++;
        res.once("close", () => {
            this.#unanswered--;
            const answered = this.#states.get(socket);
            if (answered !== undefined) {
                answered.unanswered--;
            }
        });
        return true;
    }

    /**
     * Closes the connection with the response that is about to be written, if the process drains and no later request
     * has arrived on it.
     *
     * @returns whether the connection closes with this response
     */
    closeIfDraining(req: IncomingMessage): boolean {
        const state = this.#states.get(req.socket);
        if (!this.#draining || state === undefined || state.latest !== req) {
            return false;
        }
        state.closing = true;
        return true;
    }

    /**
     * Closes the connection with the response that is about to be written, if no other response is due on it.
     *
     * @returns whether the connection closes with this response
     */
    closeIfLast(req: IncomingMessage): boolean {
        const state = this.#states.get(req.socket);
        if (state === undefined || state.latest !== req || state.unanswered > 1) {
            return false;
        }
        state.closing = true;
        return true;
    }

    /** From now on, connections close with the last response that is due on them. */
    beginDrain(): void {
        this.#draining = true;
    }

    /** Stops accepting connections, and closes the idle ones. */
    closeIdle(server: Server): void {
        server.close();
        server.closeIdleConnections();
    }
}
