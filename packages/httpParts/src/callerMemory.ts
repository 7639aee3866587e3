import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { ConnectionMemory, type ConnectionUse, memoryConnections, type MemoryLimit } from "./connectionMemory.js";
import { systemClock } from "./clock.js";

/** Limits of the memory that callers may make a process hold. */
export interface CallerMemoryLimits {
    /** Maximum memory for all connections together, in bytes. */
    readonly maxBytes: number;
    /** Maximum number of requests on one connection that wait for their responses. */
    readonly maxRequestsAhead: number;
}

/** How a connection was made to give its memory back. */
export type ReclaimAction = "refused" | "reset";

/** A connection whose memory was reclaimed. */
export interface ReclaimedConnection {
    readonly action: ReclaimAction;
    /** What it held most of. */
    readonly use: ConnectionUse;
    readonly heldBytes: number;
    /** Time for which it had made no progress, in milliseconds. */
    readonly stalledMs: number;
    /** What all connections held. */
    readonly totalBytes: number;
}

/** Default limits of {@link CallerMemory}. */
export const defaultCallerMemoryLimits: CallerMemoryLimits = Object.freeze({
    maxBytes: 50_331_648,
    maxRequestsAhead: 100,
});

/**
 * Shares of the memory up to which bodies are read ahead of their servers, and requests are handled ahead of their
 * responses. These alone never make others give way, and uploads to slow servers leave room for requests.
 */
const readAheadShare = 0.5;
const requestsAheadShare = 0.75;

const shares: Readonly<Record<MemoryLimit, number>> = {
    readAhead: readAheadShare,
    requestsAhead: requestsAheadShare,
    none: Infinity,
};

/** Share of the memory that is reclaimed at once, so that it isn't reclaimed for each further chunk. */
const reclaimedShare = 0.1;

/** Share of the memory beyond the maximum that is left to connections that hold little. */
const reserveShare = 0.25;

/** Connections that hold no more than this keep it while the reserve lasts, in bytes. */
const smallBytes = 32_768;

/** Time without progress after which a connection gives way before those that make progress, in milliseconds. */
const stalledAfterMs = 1_000;

/** Interval at which memory is measured that nobody takes: heads that are being received, unsent responses. */
const measurePeriodMs = 250;

/** Number of connections below which that isn't measured: each has a bound of its own. */
const minMeasuredConnections = 64;

/**
 * The memory that callers make a process hold, in one account: bodies that are being received, requests sent ahead,
 * responses that aren't read. Beyond the maximum, connections that make no progress give way, and those that hold the
 * most; a small request finds room.
 */
export class CallerMemory {
    readonly #limits: CallerMemoryLimits;
    readonly #onReclaimed: (reclaimed: ReclaimedConnection) => void;
    readonly #nowMs: () => number;
    /** In the order of their last use. */
    readonly #connections = new Set<ConnectionMemory>();
    #heldBytes = 0;
    #measureTimer: NodeJS.Timeout | undefined;

    /**
     * @param limits - limits
     * @param onReclaimed - called for each connection that gives its memory back
     * @param nowMs - reads a monotonic clock
     */
    constructor(
        limits: CallerMemoryLimits = defaultCallerMemoryLimits,
        onReclaimed: (reclaimed: ReclaimedConnection) => void = () => undefined,
        nowMs: () => number = () => systemClock.monotonicMs(),
    ) {
        this.#limits = limits;
        this.#onReclaimed = onReclaimed;
        this.#nowMs = nowMs;
    }

    /** What all connections hold, in bytes. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    /**
     * Accounts for the connections of a server.
     *
     * @param server - a server that isn't listening yet
     */
    watch(server: Server): void {
        server.on("connection", (socket: Socket) => this.#add(socket));
    }

    /** @returns whether to handle a request; one beyond the maximum on its connection counts as not read */
    admit(req: IncomingMessage, res: ServerResponse): boolean {
        const connection = memoryConnections.get(req.socket);
        if (connection === undefined) {
            return true;
        }
        this.#onUsed(connection);
        return connection.onRequest(req, res, this.#limits.maxRequestsAhead);
    }

    /** @returns whether further requests on a connection count as not read */
    isSealed(socket: Socket): boolean {
        return memoryConnections.get(socket)?.isSealed === true;
    }

    /**
     * Closes the connection that has been idle for longest, to make room for another one.
     *
     * @param minIdleMs - connections that were used more recently stay open, in milliseconds
     * @returns whether a connection was closed
     */
    closeIdle(minIdleMs: number): boolean {
        const nowMs = this.#nowMs();
        for (const connection of this.#connections) {
            if (connection.isIdle && nowMs - connection.usedAtMs >= minIdleMs) {
                this.#connections.delete(connection);
                connection.socket.destroy();
                return true;
            }
        }
        return false;
    }

    #add(socket: Socket): void {
        const connection = new ConnectionMemory(socket, this.#nowMs, (bytes, limit) => this.#change(bytes, limit));
        memoryConnections.set(socket, connection);
        this.#connections.add(connection);
        socket.once("close", () => {
            this.#connections.delete(connection);
            connection.close();
        });
        this.#scheduleMeasurement();
    }

    #onUsed(connection: ConnectionMemory): void {
        connection.usedAtMs = this.#nowMs();
        if (this.#connections.delete(connection)) {
            this.#connections.add(connection);
        }
        this.#scheduleMeasurement();
    }

    /** @returns whether the memory was taken, or given back if `bytes` is negative */
    #change(bytes: number, limit: MemoryLimit): boolean {
        if (this.#heldBytes + bytes > this.#limits.maxBytes * shares[limit]) {
            return false;
        }
        this.#heldBytes += bytes;
        if (bytes > 0 && this.#heldBytes > this.#limits.maxBytes) {
            this.#reclaim();
        }
        return true;
    }

    #reclaim(): void {
        const { maxBytes } = this.#limits;
        const nowMs = this.#nowMs();
        const order = (connection: ConnectionMemory): number =>
            (nowMs - connection.progressAtMs >= stalledAfterMs ? maxBytes : 0) + connection.reclaimableBytes;
        const candidates = [...this.#connections].filter(({ reclaimableBytes }) => reclaimableBytes > 0)
            .sort((a, b) => order(b) - order(a));
        const heldBefore = this.#heldBytes;
        for (const connection of candidates) {
            const isWithinReserve = this.#heldBytes <= maxBytes * (1 + reserveShare);
            const hasReclaimed = heldBefore - this.#heldBytes >= maxBytes * reclaimedShare;
            if (hasReclaimed && this.#heldBytes <= maxBytes) {
                return;
            }
            if (connection.reclaimableBytes > smallBytes || !isWithinReserve) {
                this.#reclaimFrom(connection, nowMs);
            }
        }
    }

    #reclaimFrom(connection: ConnectionMemory, nowMs: number): void {
        const totalBytes = this.#heldBytes;
        const { largestUse: use, reclaimableBytes: heldBytes } = connection;
        const stalledMs = Math.round(nowMs - connection.progressAtMs);
        const action = connection.reclaim();
        this.#onReclaimed({ action, use, heldBytes, stalledMs, totalBytes });
    }

    #scheduleMeasurement(): void {
        if (this.#measureTimer !== undefined || this.#connections.size < minMeasuredConnections) {
            return;
        }
        this.#measureTimer = setTimeout(() => {
            this.#measureTimer = undefined;
            for (const connection of [...this.#connections]) {
                connection.measure();
            }
            this.#scheduleMeasurement();
        }, measurePeriodMs);
        this.#measureTimer.unref();
    }
}
