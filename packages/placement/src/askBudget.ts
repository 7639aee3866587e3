import { askBudgetShare, askSavingsMs, leastAsked } from "./constants.js";

/** Who looks for a server: one that has just arrived or looks for the last time, or one that looks again and again. */
export type AskPurpose = "arrival" | "waiting";

/** What decides whom a request may ask. */
export interface AskInput<Server> {
    /** Those that it would ask, first ones first. */
    readonly ordered: readonly Server[];
    readonly purpose: AskPurpose;
    /** How many it would ask at once. */
    readonly wanted: number;
    /** Gateways that share the allowance. */
    readonly gateways: number;
    readonly nowMs: number;
}

interface Savings {
    /** Below zero where more was asked than was saved; paid back before anything is saved again. */
    readonly asks: number;
    readonly atMs: number;
}

/**
 * Limits how often backend servers are asked for their load. Each request asks a few, and one that waits asks again and
 * again; when every gateway has requests waiting, the questions alone would keep the servers busy. The allowance is a
 * server's own and for the whole fleet, so a gateway has one part of it for each server: kept for a service as a whole, it
 * would be exceeded at the servers that many gateways ask first. What is not used in calm times is saved for some seconds
 * of high load.
 */
export class AskBudget {
    readonly #perServerAndSecond: number;
    readonly #saved = new Map<string, Savings>();

    /** @param perServerAndSecond - from all gateways together */
    constructor(perServerAndSecond: number) {
        this.#perServerAndSecond = perServerAndSecond;
    }

    /**
     * Chooses whom a request may ask now, and counts the questions. A request that waits leaves half of the savings to those
     * that arrive; these may always ask two, or they would be refused although servers are free.
     *
     * @param input - what decides
     * @returns the servers to ask, in their order
     */
    take<Server extends { readonly id: string; }>(input: AskInput<Server>): readonly Server[] {
        const { ordered, purpose, wanted, gateways, nowMs } = input;
        const perMs = this.#perServerAndSecond * askBudgetShare / Math.max(1, gateways) / 1_000;
        const most = Math.max(1, perMs * askSavingsMs);
        const kept = purpose === "waiting" ? most / 2 : 0;
        const chosen: Server[] = [];
        for (const server of ordered) {
            if (chosen.length >= wanted) {
                break;
            }
            if (this.#asksOf(server.id, perMs, most, nowMs) - 1 >= kept) {
                chosen.push(server);
            }
        }
        const least = purpose === "arrival" ? Math.min(leastAsked, wanted) : 0;
        for (const server of ordered) {
            if (chosen.length >= least) {
                break;
            }
            if (!chosen.includes(server)) {
                chosen.push(server);
            }
        }
        for (const { id } of chosen) {
            this.#saved.set(id, { asks: this.#asksOf(id, perMs, most, nowMs) - 1, atMs: nowMs });
        }
        return chosen;
    }

    /** Forgets servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const id of this.#saved.keys()) {
            if (!serverIds.has(id)) {
                this.#saved.delete(id);
            }
        }
    }

    #asksOf(id: string, perMs: number, most: number, nowMs: number): number {
        const { asks, atMs } = this.#saved.get(id) ?? { asks: most, atMs: nowMs };
        return Math.min(most, asks + (nowMs - atMs) * perMs);
    }
}
