import { recentSendRetentionMs } from "./constants.js";

/** This gateway's latest sends, a server: they may not be in the load that the server told before. */
export class RecentSends {
    readonly #sentAtMs = new Map<string, number[]>();

    onSend(serverId: string, nowMs: number): void {
        const times = (this.#sentAtMs.get(serverId) ?? []).filter(sentAtMs => nowMs - sentAtMs < recentSendRetentionMs);
        times.push(nowMs);
        this.#sentAtMs.set(serverId, times);
    }

    /** @returns sends since a time */
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
