/** Idle connections of one gateway to backend servers, represented by the times of their last use. */
export class ConnectionPool {
    readonly #idleSinceMs = new Map<string, number[]>();
    readonly #keptMs: number;
    readonly #keptPerServer: number;
    #opened = 0;

    /**
     * @param keptMs - how long an idle connection is kept, in milliseconds
     * @param keptPerServer - maximum number of idle connections per server
     */
    constructor(keptMs: number, keptPerServer: number) {
        this.#keptMs = keptMs;
        this.#keptPerServer = keptPerServer;
    }

    /** Number of connections opened so far. */
    get opened(): number {
        return this.#opened;
    }

    /** @returns whether a connection had to be opened */
    acquire(serverId: string, nowMs: number): boolean {
        const idle = this.#idleSinceMs.get(serverId);
        const last = idle?.pop();
        if (last !== undefined && nowMs - last <= this.#keptMs) {
            return false;
        }
        idle?.splice(0);
        this.#opened++;
        return true;
    }

    release(serverId: string, nowMs: number): void {
        const idle = this.#idleSinceMs.get(serverId) ?? [];
        this.#idleSinceMs.set(serverId, idle);
        if (idle.length < this.#keptPerServer) {
            idle.push(nowMs);
        }
    }
}
