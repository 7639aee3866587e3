import { type Fault } from "./faults.js";
import { type SoakBackend } from "./soakBackend.js";
import { type SoakEdge } from "./soakEdge.js";
import { type ServerTrouble } from "./soakSystem.js";
import { setTimeout as sleep } from "node:timers/promises";

/** Lets a link fail for a while. */
export async function harmLink(proxy: SoakEdge["storeProxy"], { link, forMs }: Fault): Promise<void> {
    proxy.begin(link);
    await sleep(forMs);
    proxy.end(link);
}

/** Lets a server be in trouble for a while. */
export async function harmServer(backend: SoakBackend, trouble: Partial<ServerTrouble>, forMs: number): Promise<void> {
    const end = await backend.trouble(trouble);
    await sleep(forMs);
    await end();
}
