import { AdminServer, type BackendServerObserver, ChangeSignal, OperatorCalls, StandingFeed } from "@galenaglade/admin";
import { Secret } from "@galenaglade/settings";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type TestContext } from "node:test";
import { FakeCoordinator, FakeHostList, fleetKey } from "../../../admin/src/__tests__/fakeFleet.js";
import { type ExitCode, main } from "../index.js";

class ManualSignal extends ChangeSignal {
    announce: () => void = () => undefined;

    override wait(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.announce = resolve;
            signal.addEventListener("abort", () => resolve());
        });
    }
}

/** A real admin server over a simulated fleet in memory. */
export interface TestAdmin {
    readonly coordinator: FakeCoordinator;
    readonly server: AdminServer;
    readonly signal: ManualSignal;
    readonly url: string;
}

export async function startAdmin(
    t: TestContext,
    coordinator = new FakeCoordinator(),
    observer?: BackendServerObserver,
): Promise<TestAdmin> {
    const hosts = new FakeHostList();
    hosts.hosts = [{ name: "entry-1", address: "10.0.0.9", availabilityZone: "a", state: "live" }];
    const calls = new OperatorCalls({ coordinator, hosts, observer, acceptWaitMs: 1_000 });
    const signal = new ManualSignal();
    const server = new AdminServer({
        calls,
        feed: new StandingFeed(() => calls.getStanding(), signal, 4),
        fleetKey: new Secret(fleetKey),
        maximumMessageBytes: 1_000_000,
        maximumConnections: 20,
        drainMs: 1_000,
    });
    const port = await server.listen("127.0.0.1", 0);
    const stop = server.stop.bind(server);
    let stopped: Promise<void> | undefined;
    server.stop = () => stopped ??= stop();
    t.after(() => server.stop());
    return { coordinator, server, signal, url: `http://127.0.0.1:${port}` };
}

/** Writes a temporary file, which is deleted after the test. */
export function writeTemporaryFile(t: TestContext, text: string): string {
    const directory = mkdtempSync(join(tmpdir(), "cli-"));
    t.after(() => rmSync(directory, { recursive: true }));
    const path = join(directory, "file");
    writeFileSync(path, text);
    return path;
}

export interface CliResult {
    readonly code: ExitCode;
    readonly out: readonly string[];
    readonly err: readonly string[];
    /** Durations of the sleeps that the command requested, in milliseconds. */
    readonly sleepsMs: readonly number[];
}

export interface RunCliOptions {
    readonly key?: string;
    readonly signal?: AbortSignal;
    readonly onOut?: (line: string) => void;
    readonly onSleep?: () => void;
}

/** Runs the program against admin servers. Sleeps are recorded in `pauses` and return immediately. */
export async function runCli(
    t: TestContext,
    urls: readonly string[],
    args: readonly string[],
    options: RunCliOptions = {},
): Promise<CliResult> {
    const out: string[] = [];
    const err: string[] = [];
    const pauses: number[] = [];
    const code = await main({
        args,
        env: {
            GALENAGLADE_ADMIN: urls.length === 0 ? undefined : urls.join(","),
            GALENAGLADE_KEY_FILE: writeTemporaryFile(t, `${options.key ?? fleetKey}\n`),
        },
        terminal: {
            out: line => {
                out.push(line);
                options.onOut?.(line);
            },
            err: line => err.push(line),
        },
        signal: options.signal ?? new AbortController().signal,
        sleep: ms => {
            pauses.push(ms);
            options.onSleep?.();
            return Promise.resolve();
        },
    });
    return { code, out, err, sleepsMs: pauses };
}
