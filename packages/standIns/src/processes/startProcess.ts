import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { type ReadyLine } from "./ready.js";

/** A program to start. */
export interface StartProcessOptions {
    readonly name: string;
    /** Path of a TypeScript or JavaScript file. */
    readonly script: string;
    readonly args?: readonly string[] | undefined;
    /** Flags of node itself. */
    readonly nodeFlags?: readonly string[] | undefined;
    /** Variables besides this process's own. */
    readonly env?: Readonly<Record<string, string>> | undefined;
    /** Gets what the program prints; without one it is dropped. */
    readonly logPath?: string | undefined;
    /** Finds the address in a printed line; by default the ready line of the stand-ins. */
    readonly parseReadyUrl?: ((line: string) => string | undefined) | undefined;
    /**
     * Keeps the terminal's Ctrl-C from it, for a starter that stops what it started in an order of its own: the
     * platform would otherwise be gone before gateways had given back their leases.
     */
    readonly ownProcessGroup?: boolean | undefined;
    /** Wide limit on the time to become ready, in milliseconds. */
    readonly readyTimeoutMs?: number | undefined;
}

/** How a process ended. */
export interface ExitStatus {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

const defaultReadyWithinMs = 60_000;
const linesKept = 40;

/** A started program; every signal goes to its own id. */
export class StartedProcess {
    readonly name: string;
    /** Settles when it has ended, however it ended. */
    readonly exited: Promise<ExitStatus>;
    readonly #child: ChildProcess;
    #url = "";
    #exit: ExitStatus | undefined;

    constructor(name: string, child: ChildProcess) {
        this.name = name;
        this.#child = child;
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.#exit = { code: code ?? undefined, signal: signal ?? undefined };
                resolve(this.#exit);
            });
        });
    }

    /** Where it said that it listens. */
    get url(): string {
        return this.#url;
    }

    get pid(): number {
        return this.#child.pid ?? 0;
    }

    /** How it ended; `undefined` while it runs. */
    get exitStatus(): ExitStatus | undefined {
        return this.#exit;
    }

    /** @internal */
    setReady(url: string): void {
        this.#url = url;
    }

    /** Planned stop. Kills it where it hasn't ended within the wide limit, so that no test leaves a process behind. */
    async stop(killAfterMs = 60_000): Promise<ExitStatus> {
        this.#child.kill("SIGTERM");
        this.resume();
        const timer = setTimeout(() => this.kill(), killAfterMs);
        const exit = await this.exited;
        clearTimeout(timer);
        return exit;
    }

    /** Stands still, as a host does that is starved or moved. */
    pause(): void {
        this.#child.kill("SIGSTOP");
    }

    resume(): void {
        this.#child.kill("SIGCONT");
    }

    /** Ends without any warning. */
    kill(): void {
        this.#child.kill("SIGKILL");
    }

    /** Is told that its settings may have changed. */
    hangUp(): void {
        this.#child.kill("SIGHUP");
    }
}

/**
 * Starts a program of this repository and waits until it says that it is ready.
 *
 * @param options - what to start
 * @returns the running process
 * @throws Error with the last lines it printed, where it ended or took too long before it was ready
 */
export async function startProcess(options: StartProcessOptions): Promise<StartedProcess> {
    const loader = options.script.endsWith(".ts") ? ["--import", "tsx"] : [];
    const child = spawn(process.execPath, [
        ...options.nodeFlags ?? [],
        ...loader,
        options.script,
        ...options.args ?? [],
    ], {
        env: { ...process.env, ...options.env },
        stdio: ["ignore", "pipe", "pipe"],
        detached: options.ownProcessGroup ?? false,
    });
    const started = new StartedProcess(options.name, child);
    const log = options.logPath === undefined ? undefined : createWriteStream(options.logPath, { flags: "a" });
    const lastLines: string[] = [];
    const findReady = options.parseReadyUrl ?? parseReadyLine;
    const ready = new Promise<string>(resolve => {
        for (const output of [child.stdout, child.stderr]) {
            createInterface({ input: output }).on("line", line => {
                log?.write(`${line}\n`);
                lastLines.push(line);
                lastLines.splice(0, lastLines.length - linesKept);
                const url = findReady(line);
                if (url !== undefined) {
                    resolve(url);
                }
            });
        }
    });
    void started.exited.then(() => log?.end());
    const url = await settleFirst(ready, started, options.readyTimeoutMs ?? defaultReadyWithinMs);
    if (url === undefined) {
        started.kill();
        await started.exited;
        throw new Error(`${options.name} did not become ready:\n${lastLines.join("\n")}`);
    }
    started.setReady(url);
    return started;
}

/** @returns the ready line's address, or `undefined` for any other line */
export function parseReadyLine(line: string): string | undefined {
    if (!line.startsWith("{")) {
        return undefined;
    }
    try {
        const parsed = JSON.parse(line) as Partial<ReadyLine>;
        return parsed.ready === true ? parsed.url : undefined;
    }
    catch {
        return undefined;
    }
}

async function settleFirst(
    ready: Promise<string>,
    started: StartedProcess,
    withinMs: number,
): Promise<string | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), withinMs);
    });
    const url = await Promise.race([ready, late, started.exited.then(() => undefined)]);
    clearTimeout(timer);
    return url;
}
