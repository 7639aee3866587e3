/** Idle connections of one gateway to backend servers, represented by the times of their last use. */
export class ConnectionPool {
    readonly #idleSinceMs = new Map<string, number[]>();
    readonly #idleTimeoutMs: number;
    readonly #maxIdlePerServer: number;
    #opened = 0;

    /**
     * @param idleTimeoutMs - how long an idle connection is kept, in milliseconds
     * @param maxIdlePerServer - maximum number of idle connections per server
     */
    constructor(idleTimeoutMs: number, maxIdlePerServer: number) {
        this.#idleTimeoutMs = idleTimeoutMs;
        this.#maxIdlePerServer = maxIdlePerServer;
    }

    /** Number of connections opened so far. */
    get opened(): number {
        return this.#opened;
    }

    /** @returns whether a connection had to be opened */
    acquire(serverId: string, nowMs: number): boolean {
        const idle = this.#idleSinceMs.get(serverId);
        const last = idle?.pop();
        if (last !== undefined && nowMs - last <= this.#idleTimeoutMs) {
            return false;
        }
        idle?.splice(0);
        this.#opened++;
        return true;
    }

    release(serverId: string, nowMs: number): void {
        const idle = this.#idleSinceMs.get(serverId) ?? [];
        this.#idleSinceMs.set(serverId, idle);
        if (idle.length < this.#maxIdlePerServer) {
            idle.push(nowMs);
        }
    }
}
