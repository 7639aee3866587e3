/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}

/** Waits until `done` settles, for at most `ms` milliseconds, and clears its timer. */
export async function waitAtMost(done: Promise<void>, ms: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
        timer = setTimeout(resolve, ms);
    });
    await Promise.race([done, timeout]);
    clearTimeout(timer);
}
