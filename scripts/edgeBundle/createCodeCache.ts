import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { settingsVariable } from "../../platform/src/settingsVariable.js";
import {
    codeCacheFlags,
    codeCacheCallers,
    codeCacheTimeoutMs,
    codeCacheSignal,
    codeCacheVariable,
} from "./constants.js";
import { StandInFleet } from "./standInFleet.js";

/**
 * Starts the bundled program once with a fake fleet, sends it some requests, and lets it write its code cache. A cache
 * from a start without requests would lack the code that serves them: after an outage of all hosts, each process would
 * compile it while its callers wait.
 *
 * @param script - path of the program
 * @throws Error if the program exits without having written its code cache
 */
export async function createCodeCache(script: string): Promise<void> {
    const dir = mkdtempSync(join(tmpdir(), "galenaglade-build-"));
    const fleet = await StandInFleet.start({ running: 1, registered: 4, servers: 12 });
    const child = spawn(process.execPath, [...codeCacheFlags, script], {
        env: { ...process.env, [settingsVariable]: fleet.writeSettings(0, dir), [codeCacheVariable]: "1" },
        stdio: ["ignore", "ignore", "inherit"],
    });
    const exited = once(child, "exit");
    // Without responses the cache contains less code, which shouldn't fail the build.
    await Promise.race([sendRequests(fleet), exited, sleep(codeCacheTimeoutMs)]);
    child.kill(codeCacheSignal);
    await exited;
    fleet.close();
    rmSync(dir, { recursive: true });
    if (child.exitCode !== 0) {
        throw new Error(
            `the bundled program wrote no code cache: exit code ${child.exitCode}, signal ${child.signalCode}`,
        );
    }
}

async function sendRequests(fleet: StandInFleet): Promise<void> {
    await Promise.all(Array.from({ length: codeCacheCallers }, (_, i) => fleet.call(0, `${i}`, i % 2 === 1)));
}
