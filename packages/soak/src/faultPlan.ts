import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";
import { type Fault, type FaultKind, type LinkFault } from "./faults.js";

/** Relative frequency of a kind of fault, and the range of its duration. */
interface FaultKindOptions {
    readonly weight: number;
    readonly minDurationMs: number;
    readonly maxDurationMs: number;
}

const faultKinds: Readonly<Record<FaultKind, FaultKindOptions>> = Object.freeze({
    edgeTerm: { weight: 3, minDurationMs: 300, maxDurationMs: 1_500 },
    edgeKill: { weight: 2, minDurationMs: 200, maxDurationMs: 2_000 },
    edgePause: { weight: 2, minDurationMs: 200, maxDurationMs: 4_000 },
    edgeHup: { weight: 1, minDurationMs: 0, maxDurationMs: 0 },
    allEdgesKill: { weight: 0.5, minDurationMs: 300, maxDurationMs: 1_500 },
    storeLink: { weight: 3, minDurationMs: 500, maxDurationMs: 5_000 },
    storeRefuse: { weight: 1.5, minDurationMs: 500, maxDurationMs: 5_000 },
    storeHang: { weight: 1.5, minDurationMs: 500, maxDurationMs: 5_000 },
    storeSlow: { weight: 1, minDurationMs: 500, maxDurationMs: 4_000 },
    storeLoseAnswers: { weight: 1, minDurationMs: 500, maxDurationMs: 4_000 },
    storeCompact: { weight: 1, minDurationMs: 0, maxDurationMs: 0 },
    storePause: { weight: 0.5, minDurationMs: 500, maxDurationMs: 3_000 },
    serverLink: { weight: 3, minDurationMs: 500, maxDurationMs: 4_000 },
    serverKill: { weight: 2, minDurationMs: 500, maxDurationMs: 3_000 },
    serverPause: { weight: 1, minDurationMs: 300, maxDurationMs: 3_000 },
    serverSlow: { weight: 2, minDurationMs: 500, maxDurationMs: 5_000 },
    serverFail: { weight: 2, minDurationMs: 500, maxDurationMs: 4_000 },
    serverShed: { weight: 1, minDurationMs: 500, maxDurationMs: 4_000 },
    serverDrain: { weight: 3, minDurationMs: 500, maxDurationMs: 3_000 },
    serverCold: { weight: 2, minDurationMs: 0, maxDurationMs: 0 },
    serverSpoil: { weight: 2, minDurationMs: 500, maxDurationMs: 4_000 },
    configure: { weight: 4, minDurationMs: 0, maxDurationMs: 0 },
    zoneOut: { weight: 1.5, minDurationMs: 1_000, maxDurationMs: 8_000 },
    burst: { weight: 1.5, minDurationMs: 500, maxDurationMs: 3_000 },
    hangUp: { weight: 1, minDurationMs: 500, maxDurationMs: 3_000 },
});

const linkFaults: readonly LinkFault[] = ["delay", "reset", "cutThere", "cutBack", "silence"];

const minFaults = 5;
const maxFaults = 16;
/** Share of the faults that repeat the previous one shortly afterwards. */
const seriesShare = 0.3;
const maxSeriesGapMs = 700;

/**
 * Draws the faults of a run. Faults may overlap, including faults of the same kind.
 *
 * @param seed - seed of the run; the same seed draws the same faults
 * @returns the faults in the order in which they begin
 */
export function planFaults(seed: number): readonly Fault[] {
    const random = createRandomSource(seed);
    const count = minFaults + random.nextInt(maxFaults - minFaults + 1);
    const faults: Fault[] = [];
    while (faults.length < count) {
        const previous = faults.at(-1);
        if (previous !== undefined && random.next() < seriesShare) {
            const atMs = Math.min(faultPhaseMs, previous.atMs + random.next() * maxSeriesGapMs);
            const durationMs = Math.min(previous.durationMs, faultPhaseMs - atMs);
            faults.push({ ...previous, atMs, durationMs, target: previous.target + random.nextInt(2) });
            continue;
        }
        faults.push(drawFault(random));
    }
    return faults.sort((a, b) => a.atMs - b.atMs);
}

function drawFault(random: RandomSource): Fault {
    const kind = drawKind(random);
    const { minDurationMs, maxDurationMs } = faultKinds[kind];
    const atMs = random.next() * faultPhaseMs;
    return {
        kind,
        atMs,
        // Faults end within the fault phase, so that none affects the recovery phase.
        durationMs: Math.min(minDurationMs + random.next() * (maxDurationMs - minDurationMs), faultPhaseMs - atMs),
        target: random.nextInt(1_000),
        linkFault: linkFaults[random.nextInt(linkFaults.length)] ?? "reset",
    };
}

function drawKind(random: RandomSource): FaultKind {
    const all = Object.entries(faultKinds) as readonly (readonly [FaultKind, FaultKindOptions])[];
    let left = random.next() * all.reduce((sum, [, { weight }]) => sum + weight, 0);
    for (const [kind, { weight }] of all) {
        left -= weight;
        if (left < 0) {
            return kind;
        }
    }
    return "configure";
}
