import { setTimeout as sleep } from "node:timers/promises";
import { type PlannedPartition } from "./partitionPlan.js";
import { type LinkFault } from "./faults.js";
import { type SoakBackend } from "./soakBackend.js";
import { type SoakEdge } from "./soakEdge.js";
import { type SoakFleet } from "./soakFleet.js";

interface ActiveCut {
    readonly link: LinkFault;
    /** IP address from which a gateway connects to servers. */
    readonly from: string;
}

/** The active partitions between gateways and all backend servers, including servers that start in the meantime. */
export class ActivePartitions {
    readonly #cuts = new Set<ActiveCut>();

    /** Applies the active partitions to a server that has just started. */
    onBackendStarted({ proxy }: SoakBackend): void {
        for (const { link, from } of this.#cuts) {
            proxy.begin(link, from);
        }
    }

    /**
     * Partitions gateways from all backend servers.
     *
     * @returns ends the partition; takes the backend servers at that time
     */
    begin(
        edges: readonly SoakEdge[],
        backends: readonly SoakBackend[],
        link: LinkFault,
    ): (now: readonly SoakBackend[]) => void {
        const cuts = edges.map(({ sourceAddress }): ActiveCut => ({ link, from: sourceAddress }));
        for (const cut of cuts) {
            this.#cuts.add(cut);
            backends.forEach(({ proxy }) => proxy.begin(link, cut.from));
        }
        return now => {
            for (const cut of cuts) {
                this.#cuts.delete(cut);
                now.forEach(({ proxy }) => proxy.end(link, cut.from));
            }
        };
    }
}

/** Applies the planned partitions of a run. */
export async function partitionGateways(world: SoakFleet, cuts: readonly PlannedPartition[]): Promise<void> {
    await Promise.all(cuts.map(async ({ atMs, durationMs, target, additionalGateways, linkFault, flapPeriodMs }) => {
        await sleep(atMs);
        const count = Math.min(additionalGateways + 1, world.edges.length);
        const edges = Array.from({ length: count }, (_, i) => world.edges[(target + i) % world.edges.length])
            .filter(edge => edge !== undefined);
        for (let leftMs = durationMs; leftMs > 0;) {
            const downMs = Math.min(leftMs, flapPeriodMs ?? leftMs);
            await world.partition(edges, linkFault, downMs);
            await sleep(Math.min(leftMs - downMs, flapPeriodMs ?? 0));
            leftMs -= 2 * downMs;
        }
    }));
}
