import { type ServerHttp2Session } from "node:http2";
import { type Socket } from "node:net";

/** One client connection to the operators' port. */
export class Connection {
    readonly #socket: Socket;
    readonly #authenticationTimer: NodeJS.Timeout;
    #session: ServerHttp2Session | undefined;
    #inFlight = 0;
    #closing = false;

    /**
     * Destroys the connection unless an authenticated call arrives in time. Otherwise, unauthenticated clients could
     * use up all connections and lock operators out. An idle timeout wouldn't suffice, because a client can keep a
     * connection active by sending a byte at a time.
     *
     * @param socket - the connection
     * @param authenticationTimeoutMs - time within which an authenticated call must arrive, in milliseconds
     */
    constructor(socket: Socket, authenticationTimeoutMs: number) {
        this.#socket = socket;
        this.#authenticationTimer = setTimeout(() => socket.destroy(), authenticationTimeoutMs);
        socket.once("close", () => clearTimeout(this.#authenticationTimer));
    }

    /** Sets the session of an HTTP/2 connection. */
    setSession(session: ServerHttp2Session): void {
        this.#session = session;
        if (this.#closing) {
            session.close();
        }
    }

    /** Called when an authenticated call starts. */
    onCallStarted(): void {
        clearTimeout(this.#authenticationTimer);
        this.#inFlight++;
    }

    /** Called when a call's response has been sent completely. */
    onCallEnded(): void {
        this.#inFlight--;
        if (this.#closing) {
            this.close();
        }
    }

    /**
     * Closes once all calls in flight are answered. Node's `closeIdleConnections` treats a connection as idle while its
     * response is still in the socket's buffer, and truncates it; here a call counts until its response is sent.
     */
    close(): void {
        this.#closing = true;
        if (this.#session !== undefined) {
            this.#session.close();
        }
        else if (this.#inFlight === 0) {
            this.#socket.destroySoon();
        }
    }

    /** Closes immediately, aborting calls in flight. */
    destroy(): void {
        this.#socket.destroy();
    }
}
