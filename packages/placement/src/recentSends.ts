import { recentSendRetentionMs } from "./constants.js";

/** Times of this gateway's recent sends by server: the load that a server reported earlier doesn't include them. */
export class RecentSends {
    readonly #sentAtMs = new Map<string, number[]>();

    onSend(serverId: string, nowMs: number): void {
        const times = (this.#sentAtMs.get(serverId) ?? []).filter(sentAtMs => nowMs - sentAtMs < recentSendRetentionMs);
        times.push(nowMs);
        this.#sentAtMs.set(serverId, times);
    }

    /** @returns the number of sends since a time */
    countSince(serverId: string, sinceMs: number): number {
        const times = this.#sentAtMs.get(serverId);
        return times === undefined ? 0 : times.filter(sentAtMs => sentAtMs >= sinceMs).length;
    }

    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#sentAtMs.keys()) {
            if (!serverIds.has(serverId)) {
                this.#sentAtMs.delete(serverId);
            }
        }
    }
}
