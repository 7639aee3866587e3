import { controlBurstBytes, controlBytesPerSecond } from "./constants.js";

/** Token bucket that limits the control traffic of a gateway, in bytes. */
export class TrafficBudget {
    #bytes = controlBurstBytes;
    #filledAtMs: number | undefined;

    /** @returns the number of bytes that may be sent now; negative after urgent traffic has exceeded the budget */
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
