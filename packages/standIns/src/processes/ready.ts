/** JSON line on standard output by which a program reports that it is ready and which URL it listens on. */
export interface ReadyLine {
    readonly ready: true;
    readonly name: string;
    readonly url: string;
}

/** Prints the ready line on standard output. */
export function printReady(name: string, url: string): void {
    const line: ReadyLine = { ready: true, name, url };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Runs `stop` once on SIGTERM or SIGINT, then exits with code 0, or 1 if it failed. */
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
