import { askBudgetShare, askSavingsMs, startSavingsMs } from "./constants.js";

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
    readonly asks: number;
    readonly atMs: number;
}

/**
 * Limits how often backend servers are asked for their load. When every gateway has requests waiting that ask again and
 * again, the questions alone would keep the servers busy. The allowance is a server's own and for the whole fleet, so a
 * gateway has one part of it for each server, and nothing is granted beyond it: exceptions for requests that arrive are
 * made by all of them at once under overload, and then there is no limit. A request without a question is placed by what
 * others were told.
 *
 * In any ten seconds a server is asked at most `askBudgetShare` of the allowance of the ten seconds, the savings and what
 * every gateway has after a restart, which is less than the allowance.
 */
export class AskBudget {
    readonly #perServerAndSecond: number;
    readonly #saved = new Map<string, Savings>();
    readonly #startedAtMs: number;

    /**
     * @param perServerAndSecond - from all gateways together
     * @param startedAtMs - when this process began; it doesn't know what it asked in a life before
     */
    constructor(perServerAndSecond: number, startedAtMs: number) {
        this.#perServerAndSecond = perServerAndSecond;
        this.#startedAtMs = startedAtMs;
    }

    /**
     * Chooses whom a request may ask now, and counts the questions. A request that waits leaves half of the savings to those
     * that arrive.
     *
     * @param input - what decides
     * @returns the servers to ask, in their order
     */
    take<Server extends { readonly id: string; }>(input: AskInput<Server>): readonly Server[] {
        const { ordered, purpose, wanted, gateways, nowMs } = input;
        const perMs = this.#perServerAndSecond * askBudgetShare / Math.max(1, gateways) / 1_000;
        const kept = purpose === "waiting" ? mostSaved(perMs) / 2 : 0;
        const chosen: Server[] = [];
        for (const server of ordered) {
            if (chosen.length >= wanted) {
                break;
            }
            const asks = this.#asksOf(server.id, perMs, nowMs);
            if (asks - 1 >= kept) {
                this.#saved.set(server.id, { asks: asks - 1, atMs: nowMs });
                chosen.push(server);
            }
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

    #asksOf(id: string, perMs: number, nowMs: number): number {
        const most = mostSaved(perMs);
        const { asks, atMs } = this.#saved.get(id)
            ?? { asks: Math.min(most, Math.max(1, perMs * startSavingsMs)), atMs: this.#startedAtMs };
        return Math.min(most, asks + (nowMs - atMs) * perMs);
    }
}

/** At least one question, or a gateway of a large fleet could never ask. */
function mostSaved(perMs: number): number {
    return Math.max(1, perMs * askSavingsMs);
}
