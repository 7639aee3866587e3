import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";

interface ConnectionState {
    /** Latest request on the connection. */
    latest: IncomingMessage;
    unanswered: number;
    /** Whether the response that closes the connection is being written. */
    closing: boolean;
    /** Whether requests behind the latest one were ignored. */
    hasIgnored: boolean;
    /** Whether the caller has closed or reset the connection. */
    callerLeft: boolean;
}

/** A request whose response its caller doesn't have yet. */
export interface PendingResponse {
    readonly req: IncomingMessage;
    readonly ageMs: number;
    /** `waiting` without a response, `responding` with a part of it, `flushing` with unsent bytes of a whole response. */
    readonly state: "waiting" | "responding" | "flushing";
    /** Bytes of the connection that aren't with the operating system yet. */
    readonly unsentBytes: number;
}

/** Called when a connection has closed before the response to a request was sent. */
export type UndeliveredListener = (pending: PendingResponse, closedBy: "caller" | "gateway") => void;

/**
 * Tracks callers' connections and the outstanding requests on each. With HTTP pipelining, responses are due in the
 * order of the requests. So while the process drains, a connection is closed only with the response to its latest
 * request: closed earlier, requests that were already forwarded would get no response.
 */
export class CallerConnections {
    readonly #nowMs: () => number;
    readonly #onUndelivered: UndeliveredListener;
    readonly #states = new Map<Socket, ConnectionState>();
    readonly #pending = new Map<ServerResponse, { readonly req: IncomingMessage; readonly arrivedAtMs: number; }>();
    #draining = false;
    #isSealed = false;
    #ignored = 0;

    /**
     * @param nowMs - reads the monotonic clock
     * @param onUndelivered - called when a connection has closed before the response to a request was sent
     */
    constructor(nowMs: () => number, onUndelivered: UndeliveredListener) {
        this.#nowMs = nowMs;
        this.#onUndelivered = onUndelivered;
    }

    /** Number of requests whose response is not complete. */
    get unanswered(): number {
        return this.#pending.size;
    }

    /** Number of requests that were sent behind the last one that their connection takes. */
    get ignored(): number {
        return this.#ignored;
    }

    /** @returns the requests whose response is not complete */
    listPending(): readonly PendingResponse[] {
        return [...this.#pending.keys()].map(res => this.#describe(res)).filter(pending => pending !== undefined);
    }

    /**
     * @returns whether to handle the request: not if its connection is already closing with an earlier response, or if
     * it was sent behind another request once the connections are sealed
     */
    onRequest(req: IncomingMessage, res: ServerResponse): boolean {
        const { socket } = req;
        const state = this.#states.get(socket);
        if (state?.closing === true || (this.#isSealed && state !== undefined && state.unanswered > 0)) {
            state.hasIgnored = true;
            this.#ignored++;
            // An unread body would keep the rest of the input from being discarded.
            req.resume();
            return false;
        }
        if (state === undefined) {
            this.#addConnection(socket, req);
        }
        else {
            state.latest = req;
            state.unanswered++;
        }
        this.#pending.set(res, { req, arrivedAtMs: this.#nowMs() });
        res.once("close", () => this.#onClosed(res, socket));
        return true;
    }

    /**
     * Closes the connection with the response that is about to be written, if its request has not been read completely,
     * or if the process drains and no later request has arrived on it.
     *
     * @returns whether the connection closes with this response
     */
    closeIfDue(req: IncomingMessage): boolean {
        const state = this.#states.get(req.socket);
        const isDue = !req.complete || (this.#draining && state?.latest === req);
        if (state !== undefined && isDue) {
            state.closing = true;
        }
        return isDue;
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

    /**
     * From now on, connections with outstanding requests take no more of them, so that callers that pipeline without a
     * pause get to a last response. One that is alone on its connection is still handled.
     */
    seal(): void {
        this.#isSealed = true;
    }

    #addConnection(socket: Socket, latest: IncomingMessage): void {
        const state: ConnectionState = { latest, unanswered: 1, closing: false, hasIgnored: false, callerLeft: false };
        this.#states.set(socket, state);
        const onCallerLeft = (): void => {
            state.callerLeft = true;
        };
        socket.once("end", onCallerLeft);
        socket.once("error", onCallerLeft);
        socket.once("close", () => this.#states.delete(socket));
    }

    #onClosed(res: ServerResponse, socket: Socket): void {
        const state = this.#states.get(socket);
        const pending = this.#describe(res);
        this.#pending.delete(res);
        if (state !== undefined) {
            state.unanswered--;
            if (state.hasIgnored && !state.closing && state.unanswered === 0) {
                // The last response was written before it was known to be the last one.
                state.closing = true;
                socket.destroySoon();
            }
        }
        if (pending !== undefined && !res.writableFinished) {
            this.#onUndelivered(pending, state?.callerLeft === false ? "gateway" : "caller");
        }
    }

    #describe(res: ServerResponse): PendingResponse | undefined {
        const pending = this.#pending.get(res);
        return pending && {
            req: pending.req,
            ageMs: Math.round(this.#nowMs() - pending.arrivedAtMs),
            state: res.writableEnded ? "flushing" : res.headersSent ? "responding" : "waiting",
            unsentBytes: pending.req.socket.writableLength,
        };
    }
}
