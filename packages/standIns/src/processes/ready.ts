/** The line by which a program says on standard output that it is ready, and where. */
export interface ReadyLine {
    readonly ready: true;
    readonly name: string;
    readonly url: string;
}

/** Prints the ready line. */
export function printReady(name: string, url: string): void {
    const line: ReadyLine = { ready: true, name, url };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Runs `stop` once at SIGTERM or SIGINT, then leaves with code 0, or 1 where it failed. */
export function stopOnSignal(stop: () => Promise<void>): void {
    let stopping = false;
    const run = (): void => {
        if (stopping) {
            return;
        }
        stopping = true;
        stop().then(() => process.exit(0), () => process.exit(1));
    };
    process.on("SIGTERM", run);
    process.on("SIGINT", run);
}
