import { setTimeout as sleep } from "node:timers/promises";
import { type PlannedPartition } from "./partitionPlan.js";
import { type LinkFault } from "./faults.js";
import { type SoakBackend } from "./soakBackend.js";
import { type SoakEdge } from "./soakEdge.js";
import { type SoakFleet } from "./soakFleet.js";

interface ActivePartition {
    readonly linkFault: LinkFault;
    /** IP address from which a gateway connects to servers. */
    readonly sourceAddress: string;
}

/** The active partitions between gateways and all backend servers, including servers that start in the meantime. */
export class ActivePartitions {
    readonly #partitions = new Set<ActivePartition>();

    /** Applies the active partitions to a server that has just started. */
    onBackendStarted({ proxy }: SoakBackend): void {
        for (const { linkFault, sourceAddress } of this.#partitions) {
            proxy.begin(linkFault, sourceAddress);
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
        linkFault: LinkFault,
    ): (currentBackends: readonly SoakBackend[]) => void {
        const partitions = edges.map(({ sourceAddress }): ActivePartition => ({
            linkFault,
            sourceAddress,
        }));
        for (const partition of partitions) {
            this.#partitions.add(partition);
            backends.forEach(({ proxy }) => proxy.begin(linkFault, partition.sourceAddress));
        }
        return currentBackends => {
            for (const partition of partitions) {
                this.#partitions.delete(partition);
                currentBackends.forEach(({ proxy }) => proxy.end(linkFault, partition.sourceAddress));
            }
        };
    }
}

/** Applies the planned partitions of a run. */
export async function partitionGateways(fleet: SoakFleet, partitions: readonly PlannedPartition[]): Promise<void> {
    await Promise.all(
        partitions.map(async ({ atMs, durationMs, target, additionalGateways, linkFault, flapPeriodMs }) => {
            await sleep(atMs);
            const count = Math.min(additionalGateways + 1, fleet.edges.length);
            const edges = Array.from({ length: count }, (_, i) => fleet.edges[(target + i) % fleet.edges.length])
                .filter(edge => edge !== undefined);
            for (let leftMs = durationMs; leftMs > 0;) {
                const downMs = Math.min(leftMs, flapPeriodMs ?? leftMs);
                await fleet.partition(edges, linkFault, downMs);
                await sleep(Math.min(leftMs - downMs, flapPeriodMs ?? 0));
                leftMs -= 2 * downMs;
            }
        }),
    );
}
