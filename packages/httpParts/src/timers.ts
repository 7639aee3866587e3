/** Waits for a while. */
export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}

/** Waits for `done`, at most `ms`, and leaves no timer behind. */
export async function waitAtMost(done: Promise<void>, ms: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<void>(resolve => {
        timer = setTimeout(resolve, ms);
    });
    await Promise.race([done, late]);
    clearTimeout(timer);
}
