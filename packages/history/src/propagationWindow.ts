import { type HistoryLine } from "./events.js";

/**
 * Period in which a state change of a server may still be unknown to some gateways. It ends a fixed time after a
 * gateway that received the change has completed a heartbeat round with a majority. From then on every other gateway
 * has either received the change from that majority, or has lost contact with a majority and sends no requests.
 */
export class PropagationWindow {
    readonly #contactLimitMs: number;
    readonly #receivedAtMs = new Map<string, number>();
    #endsAtMs = Number.POSITIVE_INFINITY;

    /**
     * @param contactLimitMs - how long a gateway keeps sending requests without contact to a majority, in milliseconds
     */
    constructor(contactLimitMs: number) {
        this.#contactLimitMs = contactLimitMs;
    }

    /** `Infinity` until a majority is known to have received the change. */
    get endsAtMs(): number {
        return this.#endsAtMs;
    }

    /** Records that a gateway received the change; the earliest receipt counts. */
    onReceived(gateway: string, atMs: number): void {
        this.#receivedAtMs.set(gateway, Math.min(atMs, this.#receivedAtMs.get(gateway) ?? atMs));
    }

    onMajorityRound(line: Extract<HistoryLine, { readonly type: "majorityRound"; }>): void {
        const receivedAtMs = this.#receivedAtMs.get(line.gateway);
        if (receivedAtMs !== undefined && line.startedAtMs >= receivedAtMs) {
            this.#endsAtMs = Math.min(this.#endsAtMs, line.atMs + this.#contactLimitMs);
        }
    }
}
