import { type HistoryLine } from "@galenaglade/history";

/** A time in which something was harmed. */
export interface FaultWindow {
    readonly fromMs: number;
    /** Infinite while it lasts. */
    readonly toMs: number;
}

/** Times in which something that a promise rests on was harmed. */
export class FaultWindows {
    readonly #spans: { readonly fromMs: number; toMs: number; }[] = [];

    /** Something is harmed from now on. @returns ends it */
    begin(nowMs: number): (endMs: number) => void {
        const span = { fromMs: nowMs, toMs: Infinity };
        this.#spans.push(span);
        return endMs => {
            span.toMs = endMs;
        };
    }

    /** @returns whether nothing was harmed in a time */
    isFaultFree(fromMs: number, toMs: number): boolean {
        return this.#spans.every(span => span.toMs < fromMs || span.fromMs > toMs);
    }
}

/**
 * Leaves out what servers got while a gateway could not know better: with the store, a gateway or a way between them
 * harmed less than the settling time before.
 *
 * @param history - every line of a run
 * @param harmed - when the store, gateways or ways between them were harmed
 * @param settledMs - calm time after which every gateway must know
 * @returns the history without those arrivals
 */
export function filterFaultFreeArrivals(
    history: readonly HistoryLine[],
    harmed: FaultWindows,
    settledMs: number,
): readonly HistoryLine[] {
    return history.filter(line =>
        (line.type !== "serverStarted" && line.type !== "serverTurnedAway")
        || harmed.isFaultFree(line.atMs - settledMs, line.atMs)
    );
}

/** The monotonic clock that all processes of the machine share, in milliseconds. */
export function monotonicNow(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
