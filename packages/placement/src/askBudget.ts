import { askBudgetShare, askSavingsMs, leastAsked } from "./constants.js";

/**
 * Limits how often backend servers are asked for their load. Each request asks a few, and one that waits asks again and
 * again; when every gateway has requests waiting, the questions alone would keep the servers busy. The allowance is for
 * the whole fleet, a server and second, so a gateway has one part of it for each server that it may ask. What is not
 * used in calm times is saved for some seconds of high load.
 */
export class AskBudget {
    readonly #perServerAndSecond: number;
    readonly #saved = new Map<string, { asks: number; atMs: number; }>();

    /** @param perServerAndSecond - from all gateways together */
    constructor(perServerAndSecond: number) {
        this.#perServerAndSecond = perServerAndSecond;
    }

    /**
     * @param service - whose servers are to be asked
     * @param purpose - a request that waits leaves half of the savings to those that have just arrived
     * @param wanted - how many
     * @param fleet - servers of the service, and gateways that ask them
     * @param nowMs - the present time
     * @returns how many may be asked now; they are counted
     */
    take(
        service: string,
        purpose: "arrival" | "waiting",
        wanted: number,
        fleet: { readonly servers: number; readonly gateways: number; },
        nowMs: number,
    ): number {
        const perMs = this.#perServerAndSecond * askBudgetShare * fleet.servers / Math.max(1, fleet.gateways) / 1_000;
        const most = perMs * askSavingsMs;
        const saved = this.#saved.get(service) ?? { asks: most, atMs: nowMs };
        const asks = Math.min(most, saved.asks + (nowMs - saved.atMs) * perMs);
        const usable = purpose === "arrival" ? Math.max(leastAsked, asks) : asks - most / 2;
        const taken = Math.max(0, Math.min(wanted, Math.floor(usable)));
        this.#saved.set(service, { asks: asks - taken, atMs: nowMs });
        return taken;
    }
}
