import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { ByteAccount } from "./byteBudget.js";
import { outstandingResponses } from "./callerDisconnects.js";
import { resetConnection } from "./resetConnection.js";

/**
 * What a connection holds memory for: a body that is being received, a body that is whole, requests sent ahead, responses
 * that wait for their turn, output that isn't sent, and a head that is being received.
 */
export type ConnectionUse = "body" | "wholeBody" | "requestsAhead" | "response" | "unsent" | "head";

/** Which limit of all connections together applies: without one, others are made to give memory back. */
export type MemoryLimit = "readAhead" | "requestsAhead" | "none";

type ChangeMemory = (bytes: number, limit: MemoryLimit) => boolean;

/** Uses whose memory a connection can be made to give back: servers may be working on whole bodies. */
const reclaimableUses = ["body", "requestsAhead", "response", "unsent", "head"] as const;

/** Memory of a request that waits behind another one, and of one that isn't handled, in bytes. */
const requestAheadBytes = 8_192;
const ignoredRequestBytes = 4_096;

/** Memory of the bytes of a head while it is parsed, as a factor of them. */
const headCostFactor = 4;

/** Bytes with which a connection counts as making progress. */
const minProgressBytes = 4_096;

/** The memory of each connection that is accounted for. */
export const memoryConnections = new WeakMap<Socket, ConnectionMemory>();

/**
 * Takes memory for a response that waits for its turn on its connection.
 *
 * @param socket - the caller's connection
 * @param bytes - size of the response
 * @returns gives the memory back
 */
export function holdResponse(socket: Socket, bytes: number): () => void {
    const connection = memoryConnections.get(socket);
    connection?.hold("response", bytes);
    return () => connection?.release("response", bytes);
}

/** What one caller's connection makes the process hold. */
export class ConnectionMemory extends ByteAccount {
    readonly socket: Socket;
    /** When its last request or, before that, the connection itself arrived, in milliseconds. */
    usedAtMs: number;
    readonly #nowMs: () => number;
    readonly #change: ChangeMemory;
    readonly #held: Record<ConnectionUse, number> = {
        body: 0,
        wholeBody: 0,
        requestsAhead: 0,
        response: 0,
        unsent: 0,
        head: 0,
    };
    #progressAtMs: number;
    #bytesSinceProgress = 0;
    #outstanding = 0;
    #bytesAtRequest = 0;
    #isSealed = false;
    #lastHandled: ServerResponse | undefined;
    #refuse: (() => void) | undefined;
    #isClosed = false;

    /**
     * @param socket - the connection
     * @param nowMs - reads a monotonic clock
     * @param change - takes memory from that of all connections, or gives it back
     */
    constructor(socket: Socket, nowMs: () => number, change: ChangeMemory) {
        super();
        this.socket = socket;
        this.#nowMs = nowMs;
        this.#change = change;
        this.usedAtMs = nowMs();
        this.#progressAtMs = nowMs();
    }

    /** When it last received a fair number of bytes, or gave memory back, in milliseconds. */
    get progressAtMs(): number {
        return this.#progressAtMs;
    }

    /** Memory that it can be made to give back, in bytes. */
    get reclaimableBytes(): number {
        return this.#isClosed ? 0 : reclaimableUses.reduce((sum, use) => sum + this.#held[use], 0);
    }

    /** What it holds most reclaimable memory for. */
    get largestUse(): ConnectionUse {
        return reclaimableUses.reduce((most, use) => this.#held[use] > this.#held[most] ? use : most);
    }

    /** Whether no request on it waits for its response. */
    get isIdle(): boolean {
        return this.#outstanding === 0;
    }

    /** Whether further requests on it count as not read. */
    get isSealed(): boolean {
        return this.#isSealed;
    }

    /** Takes memory for a body that is read ahead of its server, unless too much is held already. */
    override tryTake(bytes: number): boolean {
        return this.#tryHold("body", bytes, "readAhead");
    }

    override giveBack(bytes: number): void {
        this.release("body", bytes);
    }

    /** Takes memory, which this connection or others may be made to give back for it. */
    hold(use: ConnectionUse, bytes: number): void {
        if (this.#isClosed) {
            return;
        }
        this.#held[use] += bytes;
        this.#onProgress(bytes);
        this.#change(bytes, "none");
    }

    release(use: ConnectionUse, bytes: number): void {
        if (this.#isClosed || bytes === 0) {
            return;
        }
        const released = Math.min(bytes, this.#held[use]);
        this.#held[use] -= released;
        this.#progressAtMs = this.#nowMs();
        this.#change(-released, "none");
    }

    /**
     * Sets how a request whose body is being received can be refused; nothing was done with it.
     *
     * @returns takes the request out again
     */
    whileRefusable(refuse: () => void): () => void {
        this.#refuse = refuse;
        return () => {
            if (this.#refuse === refuse) {
                this.#refuse = undefined;
            }
        };
    }

    /** Makes the connection give its memory back. @returns how */
    reclaim(): "refused" | "reset" {
        const refuse = this.#refuse;
        if (refuse !== undefined && this.#outstanding <= 1) {
            this.#refuse = undefined;
            refuse();
            return "refused";
        }
        this.close();
        resetConnection(this.socket, "memory");
        return "reset";
    }

    /** Gives all memory back for good. */
    close(): void {
        if (this.#isClosed) {
            return;
        }
        const bytes = Object.values(this.#held).reduce((sum, held) => sum + held, 0);
        this.#isClosed = true;
        this.#change(-bytes, "none");
    }

    /**
     * Counts a request.
     *
     * @param maxRequests - maximum number of requests that wait for their responses
     * @returns whether to handle it; the connection closes behind the last one that is handled
     */
    onRequest(req: IncomingMessage, res: ServerResponse, maxRequests: number): boolean {
        this.#bytesAtRequest = this.socket.bytesRead;
        this.#setHeld("head", 0);
        const costBytes = this.#outstanding > 0 ? requestAheadBytes : 0;
        if (
            this.#isSealed || this.#outstanding >= maxRequests
            || !this.#tryHold("requestsAhead", costBytes, "requestsAhead")
        ) {
            this.#seal();
            // An unread body would keep the rest of the input from being discarded.
            req.resume();
            this.hold("requestsAhead", ignoredRequestBytes);
            return false;
        }
        this.#lastHandled = res;
        this.#outstanding++;
        res.once("close", () => {
            this.#outstanding--;
            this.usedAtMs = this.#nowMs();
            this.#bytesAtRequest = this.socket.bytesRead;
            this.release("requestsAhead", costBytes);
            if (this.#isSealed && this.#outstanding === 0) {
                this.socket.destroySoon();
            }
        });
        return true;
    }

    /** Measures what is held without being taken. */
    measure(): void {
        const { socket } = this;
        const responses = outstandingResponses(socket);
        const waiting = responses.reduce((sum, res) => sum + (res.socket === null ? res.writableLength : 0), 0);
        this.#setHeld("unsent", socket.writableLength + waiting);
        // What comes on a connection that is being closed is discarded.
        const isReceivingHead = this.isIdle && !this.#isSealed && !socket.writableEnded;
        this.#setHeld("head", isReceivingHead ? headCostFactor * (socket.bytesRead - this.#bytesAtRequest) : 0);
    }

    /** Takes memory unless too much is held already. @returns whether it was taken */
    #tryHold(use: ConnectionUse, bytes: number, limit: MemoryLimit): boolean {
        if (this.#isClosed || bytes === 0) {
            return true;
        }
        if (!this.#change(bytes, limit)) {
            return false;
        }
        this.#held[use] += bytes;
        this.#onProgress(bytes);
        return true;
    }

    #seal(): void {
        this.#isSealed = true;
        if (this.#lastHandled !== undefined) {
            this.#lastHandled.shouldKeepAlive = false;
        }
    }

    #setHeld(use: "unsent" | "head", bytes: number): void {
        const change = bytes - this.#held[use];
        if (change > 0) {
            this.hold(use, change);
        }
        else {
            this.release(use, -change);
        }
    }

    #onProgress(bytes: number): void {
        this.#bytesSinceProgress += bytes;
        const holdsMoreThanThis = this.reclaimableBytes > bytes;
        if (this.#bytesSinceProgress >= minProgressBytes || !holdsMoreThanThis) {
            this.#bytesSinceProgress = 0;
            this.#progressAtMs = this.#nowMs();
        }
    }
}
