/**
 * Waits for the first of several promises, a timeout or an abort. Leaves neither a timer nor a listener behind.
 *
 * @param pending - promises to wait for
 * @param signal - ends the wait when it is aborted
 * @param lateAfterMs - timeout in milliseconds; `undefined` for none
 * @returns the first value, `"late"` after the timeout, or `"aborted"`
 */
export async function awaitFirst<T>(
    pending: readonly Promise<T>[],
    signal: AbortSignal,
    lateAfterMs: number | undefined,
): Promise<T | "late" | "aborted"> {
    if (signal.aborted) {
        return "aborted";
    }
    const over = new AbortController();
    const aborted = new Promise<"aborted">(resolve => {
        signal.addEventListener("abort", () => resolve("aborted"), { once: true, signal: over.signal });
    });
    const late = new Promise<"late">(resolve => {
        if (lateAfterMs !== undefined) {
            const timer = setTimeout(() => resolve("late"), lateAfterMs);
            over.signal.addEventListener("abort", () => clearTimeout(timer), { once: true });
        }
    });
    const first = await Promise.race([...pending, aborted, late]);
    over.abort();
    return first;
}
