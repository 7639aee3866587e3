import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";
import { type ReadyLine } from "./ready.js";

/** Options of a process to start. */
export interface StartProcessOptions {
    readonly name: string;
    /** Path of a TypeScript or JavaScript file. */
    readonly script: string;
    readonly args?: readonly string[] | undefined;
    /** Command-line flags of Node.js itself. */
    readonly nodeFlags?: readonly string[] | undefined;
    /** Environment variables in addition to those of this process. */
    readonly env?: Readonly<Record<string, string>> | undefined;
    /** File to which the program's output is appended; without it, the output is discarded. */
    readonly logPath?: string | undefined;
    /** Parses the URL from a line of output that reports readiness; defaults to {@link parseReadyLine}. */
    readonly parseReadyUrl?: ((line: string) => string | undefined) | undefined;
    /**
     * Starts the program in its own process group, so that Ctrl-C in the terminal doesn't reach it. For a parent that
     * stops its children in a given order: otherwise the platform would end before gateways have revoked their leases.
     */
    readonly ownProcessGroup?: boolean | undefined;
    /** Timeout for the program to become ready, in milliseconds. */
    readonly readyTimeoutMs?: number | undefined;
}

/** How a process ended. */
export interface ExitStatus {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

const defaultReadyTimeoutMs = 60_000;
const maxLastLines = 40;

/** A running child process. Signals are sent to its process id only. */
export class StartedProcess {
    readonly name: string;
    /** Resolves when the process has exited, whatever the exit status. */
    readonly exited: Promise<ExitStatus>;
    readonly #child: ChildProcess;
    #url = "";
    #exitStatus: ExitStatus | undefined;

    constructor(name: string, child: ChildProcess) {
        this.name = name;
        this.#child = child;
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.#exitStatus = { code: code ?? undefined, signal: signal ?? undefined };
                resolve(this.#exitStatus);
            });
        });
    }

    /** URL that the program reported as ready. */
    get url(): string {
        return this.#url;
    }

    get pid(): number {
        return this.#child.pid ?? 0;
    }

    /** `undefined` while the process runs. */
    get exitStatus(): ExitStatus | undefined {
        return this.#exitStatus;
    }

    /** @internal */
    setReady(url: string): void {
        this.#url = url;
    }

    /** Sends SIGTERM, then SIGKILL if the process is still running after `killAfterMs`, so no test leaves it behind. */
    async stop(killAfterMs = 60_000): Promise<ExitStatus> {
        this.#child.kill("SIGTERM");
        this.resume();
        const timer = setTimeout(() => this.kill(), killAfterMs);
        const exit = await this.exited;
        clearTimeout(timer);
        return exit;
    }

    /** Suspends the process, which simulates a host that is starved of CPU or being migrated. */
    pause(): void {
        this.#child.kill("SIGSTOP");
    }

    resume(): void {
        this.#child.kill("SIGCONT");
    }

    /** Kills the process without a graceful shutdown. */
    kill(): void {
        this.#child.kill("SIGKILL");
    }

    /** Sends SIGTERM without waiting for the exit. */
    terminate(): void {
        this.#child.kill("SIGTERM");
    }

    /** Sends SIGHUP, on which a program reloads its settings. */
    hangUp(): void {
        this.#child.kill("SIGHUP");
    }
}

/**
 * Starts a program of this repository and waits until it reports that it is ready.
 *
 * @param options - the program and its environment
 * @returns the running process
 * @throws Error with the last lines of output if the program exits or times out before it is ready
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
    const parseUrl = options.parseReadyUrl ?? parseReadyLine;
    const ready = new Promise<string>(resolve => {
        for (const output of [child.stdout, child.stderr]) {
            createInterface({ input: output }).on("line", line => {
                log?.write(`${line}\n`);
                lastLines.push(line);
                lastLines.splice(0, lastLines.length - maxLastLines);
                const url = parseUrl(line);
                if (url !== undefined) {
                    resolve(url);
                }
            });
        }
    });
    void started.exited.then(() => log?.end());
    const url = await waitForReady(ready, started, options.readyTimeoutMs ?? defaultReadyTimeoutMs);
    if (url === undefined) {
        started.kill();
        await started.exited;
        throw new Error(`${options.name} did not become ready:\n${lastLines.join("\n")}`);
    }
    started.setReady(url);
    return started;
}

/** @returns the URL in a ready line, or `undefined` for any other line */
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

async function waitForReady(
    ready: Promise<string>,
    started: StartedProcess,
    timeoutMs: number,
): Promise<string | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), timeoutMs);
    });
    const url = await Promise.race([ready, timeout, started.exited.then(() => undefined)]);
    clearTimeout(timer);
    return url;
}
