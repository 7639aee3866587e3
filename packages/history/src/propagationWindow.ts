import { type HistoryLine } from "./events.js";

/**
 * The time until which a gateway may, without fault, not know a word about a server. It ends a fixed time after some
 * gateway that heard the word has since had answers from a majority: from then on every gateway either has heard
 * it from that majority, or is out of contact and sends nothing.
 */
export class PropagationWindow {
    readonly #contactLimitMs: number;
    readonly #heardAtMs = new Map<string, number>();
    #endsAtMs = Number.POSITIVE_INFINITY;

    /**
     * @param contactLimitMs - how long a gateway sends without hearing from a majority, in milliseconds
     */
    constructor(contactLimitMs: number) {
        this.#contactLimitMs = contactLimitMs;
    }

    get endsAtMs(): number {
        return this.#endsAtMs;
    }

    onReceived(gateway: string, atMs: number): void {
        this.#heardAtMs.set(gateway, Math.min(atMs, this.#heardAtMs.get(gateway) ?? atMs));
    }

    onMajorityRound(line: Extract<HistoryLine, { readonly type: "majorityRound"; }>): void {
        const heardAtMs = this.#heardAtMs.get(line.gateway);
        if (heardAtMs !== undefined && line.startedAtMs >= heardAtMs) {
            this.#endsAtMs = Math.min(this.#endsAtMs, line.atMs + this.#contactLimitMs);
        }
    }
}
