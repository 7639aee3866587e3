/**
 * Waits for the first of several things, and leaves neither timer nor listener behind.
 *
 * @param pending - what may come
 * @param signal - ends the wait
 * @param lateAfterMs - ends it after a time; `undefined` for no limit
 * @returns what came first, or why nothing did
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
