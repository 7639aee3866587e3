import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";
import { type LinkFault } from "./faults.js";

/** A partition between some gateways and all backend servers. */
export interface PlannedPartition {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the first gateway, modulo the number of gateways, and how many after it are partitioned as well. */
    readonly target: number;
    readonly additionalGateways: number;
    readonly linkFault: LinkFault;
    /** How long the links stay down and then up in turn, in milliseconds; `undefined` if they stay down. */
    readonly flapPeriodMs: number | undefined;
}

const partitionShare = 0.5;
const repeatShare = 0.4;
const flapShare = 0.2;
const minDurationMs = 1_500;
const minFlapPeriodMs = 300;
const maxFlapPeriodMs = 1_200;
const additionalGatewayChoices = 4;
const linkFaults: readonly LinkFault[] = ["reset", "cutThere", "cutBack"];
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x165_667b1;

/**
 * Draws which gateways of a run are partitioned from all backend servers. Partitions may overlap.
 *
 * @param seed - seed of the run
 * @returns the partitions; the same for the same seed
 */
export function planPartitions(seed: number): readonly PlannedPartition[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const partitions: PlannedPartition[] = [];
    for (let share = partitionShare; random.next() < share; share = repeatShare) {
        const atMs = random.next() * (faultPhaseMs - minDurationMs);
        const flaps = random.next() < flapShare;
        partitions.push({
            atMs,
            durationMs: minDurationMs + random.next() * (faultPhaseMs - minDurationMs - atMs),
            target: random.nextInt(1_000),
            additionalGateways: random.nextInt(additionalGatewayChoices),
            linkFault: linkFaults[random.nextInt(linkFaults.length)] ?? "reset",
            flapPeriodMs: flaps ? minFlapPeriodMs + random.next() * (maxFlapPeriodMs - minFlapPeriodMs) : undefined,
        });
    }
    return partitions;
}
