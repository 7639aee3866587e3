import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

interface ConnectionState {
    /** The request that arrived last. */
    latest: IncomingMessage;
    unanswered: number;
    /** Whether the answer that ends the connection is on its way. */
    closing: boolean;
}

/**
 * Callers' connections with what is outstanding on each. Callers may send several requests before the first is answered,
 * and the answers must come in that order; so while the process stops, a connection may only end with the answer to the
 * request that arrived last. Ended earlier, requests that were passed on already would be left without an answer.
 */
export class CallerConnections {
    readonly #states = new Map<Socket, ConnectionState>();
    #unanswered = 0;
    #stopping = false;

    /** Requests that have no whole answer yet. */
    get unanswered(): number {
        return this.#unanswered;
    }

    /** @returns whether the request is to be handled; one behind the last answer of its connection is not */
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

    /** @returns whether the connection ends with this answer, which is about to be written */
    closeIfDraining(req: IncomingMessage): boolean {
        const state = this.#states.get(req.socket);
        if (!this.#stopping || state === undefined || state.latest !== req) {
            return false;
        }
        state.closing = true;
        return true;
    }

    /**
     * Lets the connection end with this answer, where nothing else is due on it.
     *
     * @returns whether it ends with it
     */
    closeIfLast(req: IncomingMessage): boolean {
        const state = this.#states.get(req.socket);
        if (state === undefined || state.latest !== req || state.unanswered > 1) {
            return false;
        }
        state.closing = true;
        return true;
    }

    /** From now on connections end with the last answer that is due on them. */
    beginDrain(): void {
        this.#stopping = true;
    }

    /** Takes no more connections, and ends those on which nothing is due. */
    closeIdle(server: Server): void {
        server.close();
        server.closeIdleConnections();
    }
}
