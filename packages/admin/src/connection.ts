import { type ServerHttp2Session } from "node:http2";
import { type Socket } from "node:net";

/** One connection to the operators' port, from its first byte on. */
export class Connection {
    readonly #socket: Socket;
    readonly #strangerLimit: NodeJS.Timeout;
    #session: ServerHttp2Session | undefined;
    #inFlight = 0;
    #closing = false;

    /**
     * Strangers who open connections and say nothing, or nothing with a key, would use up all that are held at once
     * and lock operators out; one that trickles its bytes would outlast any limit on silence. So each connection is
     * destroyed after a fixed time unless a call with the key has come by then.
     *
     * @param socket - the connection
     * @param strangerLimitMs - that time in milliseconds
     */
    constructor(socket: Socket, strangerLimitMs: number) {
        this.#socket = socket;
        this.#strangerLimit = setTimeout(() => socket.destroy(), strangerLimitMs);
        socket.once("close", () => clearTimeout(this.#strangerLimit));
    }

    /** Says that the connection speaks HTTP/2. */
    setSession(session: ServerHttp2Session): void {
        this.#session = session;
        if (this.#closing) {
            session.close();
        }
    }

    /** A call with the key begins. */
    onCallStarted(): void {
        clearTimeout(this.#strangerLimit);
        this.#inFlight++;
    }

    /** A call's answer is out. */
    onCallEnded(): void {
        this.#inFlight--;
        if (this.#closing) {
            this.close();
        }
    }

    /**
     * Closes as soon as the calls in flight are answered. Node's own closing of idle connections takes one for idle
     * whose answer is still in the socket's buffer, and cuts it short; here an answer counts until it is out.
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

    /** Closes at once, whatever is in flight. */
    destroy(): void {
        this.#socket.destroy();
    }
}
