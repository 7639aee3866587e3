import { GoodChances } from "./goodChances.js";
import { type ServerOffer } from "./loadReport.js";

/** What a backend server said of itself last. */
export interface RememberedOffer {
    readonly offer: ServerOffer;
    /** When it was asked, or when the answer came that said so. */
    readonly atMs: number;
    /** Whether it was good then. */
    readonly wasGood: boolean;
    /** When it was last asked itself. Whether it is cold it says only then. */
    readonly askedAtMs: number;
}

/**
 * What the backend servers of one service said of their load last, for all requests of the process. Under high load several
 * requests look for a server within the time that an answer stays true; each asking for itself, they would keep gateways
 * and servers busy with questions alone.
 */
export class LoadMemory {
    readonly #latest = new Map<string, RememberedOffer>();
    readonly #chances = new GoodChances();

    /** @param wasAsked - whether the server was asked; otherwise its load came with the answer to a request */
    onOffer(offer: ServerOffer, isGood: boolean, atMs: number, wasAsked: boolean): void {
        const before = this.#latest.get(offer.serverId);
        if (before !== undefined && before.atMs > atMs) {
            return;
        }
        this.#chances.onLook(isGood, before && { wasGood: before.wasGood, ageMs: atMs - before.atMs });
        const askedAtMs = wasAsked ? atMs : before?.askedAtMs ?? -Infinity;
        this.#latest.set(offer.serverId, { offer, atMs, wasGood: isGood, askedAtMs });
    }

    /** What it said is not to be relied on any more. */
    forget(serverId: string): void {
        this.#latest.delete(serverId);
    }

    recall(serverId: string): RememberedOffer | undefined {
        return this.#latest.get(serverId);
    }

    /**
     * @param isGood - whether it would still be good by what it said and what was sent since
     * @returns the chance that the server is good now, from 0 to 1
     */
    chanceOf(serverId: string, isGood: boolean, nowMs: number): number {
        const last = this.#latest.get(serverId);
        return this.#chances.of(last && { wasGood: isGood, ageMs: nowMs - last.atMs });
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#latest.keys()) {
            if (!serverIds.has(serverId)) {
                this.#latest.delete(serverId);
            }
        }
    }
}
