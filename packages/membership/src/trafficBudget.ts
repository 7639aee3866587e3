import { controlBurstBytes, controlBytesPerSecond } from "./constants.js";

/** Keeps a gateway's control traffic within its bytes a second. */
export class TrafficBudget {
    #bytes = controlBurstBytes;
    #filledAtMs: number | undefined;

    /** @returns bytes that may be sent now; negative after urgent traffic went beyond the budget */
    available(nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - (this.#filledAtMs ?? nowMs));
        this.#filledAtMs = nowMs;
        this.#bytes = Math.min(controlBurstBytes, this.#bytes + elapsedMs * controlBytesPerSecond / 1_000);
        return this.#bytes;
    }

    spend(bytes: number): void {
        this.#bytes -= bytes;
    }
}
