import { type Fault } from "./faults.js";
import { type SoakBackend } from "./soakBackend.js";
import { type SoakEdge } from "./soakEdge.js";
import { type ServerFaults } from "./soakSystem.js";
import { setTimeout as sleep } from "node:timers/promises";

/** Injects a fault into a link for the fault's duration. */
export async function injectLinkFault(proxy: SoakEdge["storeProxy"], { linkFault, durationMs }: Fault): Promise<void> {
    proxy.begin(linkFault);
    await sleep(durationMs);
    proxy.end(linkFault);
}

/** Injects faults into a backend server for some milliseconds. */
export async function injectServerFaults(
    backend: SoakBackend,
    faults: Partial<ServerFaults>,
    durationMs: number,
): Promise<void> {
    const end = await backend.injectFaults(faults);
    await sleep(durationMs);
    await end();
}
