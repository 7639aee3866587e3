import { type HistoryLine } from "@galenaglade/history";

/** A period in which a fault was active, on the monotonic clock. */
export interface FaultWindow {
    readonly fromMs: number;
    /** Infinite while the fault is active. */
    readonly toMs: number;
}

/** Records the periods in which a fault was active that excuses violations of a guarantee. */
export class FaultWindows {
    readonly #windows: { readonly fromMs: number; toMs: number; }[] = [];

    /**
     * Begins a fault period.
     *
     * @returns ends the period at the given time
     */
    begin(nowMs: number): (endMs: number) => void {
        const window = { fromMs: nowMs, toMs: Infinity };
        this.#windows.push(window);
        return endMs => {
            window.toMs = endMs;
        };
    }

    /** @returns whether no fault was active in a period, including its ends */
    isFaultFree(fromMs: number, toMs: number): boolean {
        return this.#windows.every(span => span.toMs < fromMs || span.fromMs > toMs);
    }
}

/**
 * Omits the arrivals of requests at servers that faults excuse: a gateway may have acted on stale state because the
 * store, a gateway or a connection between them was faulty less than the convergence time before.
 *
 * @param history - all lines of a run
 * @param faultWindows - when the store, gateways or connections between them were faulty
 * @param convergenceMs - time without faults after which every gateway must have the store's state, in milliseconds
 * @returns the history without those arrivals
 */
export function filterFaultFreeArrivals(
    history: readonly HistoryLine[],
    faultWindows: FaultWindows,
    convergenceMs: number,
): readonly HistoryLine[] {
    return history.filter(line =>
        (line.type !== "serverStarted" && line.type !== "serverTurnedAway")
        || faultWindows.isFaultFree(line.atMs - convergenceMs, line.atMs)
    );
}

/** @returns the time of the monotonic clock that all processes of the machine share, in milliseconds */
export function monotonicNow(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
