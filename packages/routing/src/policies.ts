import { defaultReportDecayMs, otherZoneCost, hotQuantile, hotColdSampleSize } from "./constants.js";
import { type RandomSource } from "./randomSource.js";
import { type Candidate, RoutingPolicy } from "./routingPolicy.js";
import { type ServerId } from "./serverSignal.js";

/** Everybody's requests in flight as far as known; own counts are current, others' may be missing. */
function knownInFlight(candidate: Candidate): number {
    return candidate.ownInFlight + (candidate.othersInFlight ?? 0);
}

/** Occupied share of the slots, so that servers of different sizes compare. */
function occupancy(candidate: Candidate): number {
    return knownInFlight(candidate) / candidate.server.slots;
}

/** Indexes of at most `size` different candidates. */
function sample(count: number, size: number, random: RandomSource): readonly number[] {
    const indexes = Array.from({ length: count }, (_, i) => i);
    const taken = Math.min(size, count);
    for (let i = 0; i < taken; i++) {
        const j = i + random.nextInt(count - i);
        const swapped = indexes[i] ?? i;
        indexes[i] = indexes[j] ?? j;
        indexes[j] = swapped;
    }
    return indexes.slice(0, taken);
}

/** The index with the lowest cost; ties fall to whichever comes first in `indexes`. */
function lowest(
    candidates: readonly Candidate[],
    indexes: readonly number[],
    costOf: (candidate: Candidate) => number,
): number {
    let best = indexes[0] ?? 0;
    let bestCost = Infinity;
    for (const index of indexes) {
        const candidate = candidates[index];
        if (candidate === undefined) {
            continue;
        }
        const cost = costOf(candidate);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

/** Baseline: any candidate, all alike. */
export class RandomPolicy extends RoutingPolicy {
    override readonly name = "random";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        return random.nextInt(candidates.length);
    }
}

/** Baseline: one after the other. */
export class RoundRobinPolicy extends RoutingPolicy {
    override readonly name = "roundRobin";
    readonly #turns = new Map<ServerId, number>();
    #turn = 0;

    override choose(candidates: readonly Candidate[]): number {
        // A position would lose the turn when candidates come and go, and so would one name when requests of another
        // service come in between: the first server of either would get nearly all. Each server's own last turn can't.
        const all = candidates.map((_, i) => i);
        const chosen = lowest(candidates, all, candidate => this.#turns.get(candidate.serverId) ?? 0);
        const server = candidates[chosen]?.serverId;
        if (server !== undefined) {
            this.#turns.set(server, ++this.#turn);
        }
        return chosen;
    }
}

/** Baseline: the fewest requests in flight from this gateway. */
export class LeastOwnInFlightPolicy extends RoutingPolicy {
    override readonly name = "leastOwnInFlight";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const all = sample(candidates.length, candidates.length, random);
        return lowest(candidates, all, candidate => candidate.ownInFlight / candidate.server.slots);
    }
}

/** Baseline: the less occupied of two drawn at random. */
export class TwoChoicesPolicy extends RoutingPolicy {
    override readonly name = "twoChoices";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        return lowest(candidates, sample(candidates.length, 2, random), occupancy);
    }
}

/**
 * Of a small sample, a server whose known in-flight count lies in the upper part of all candidates' counts is hot.
 * Among those not hot the fastest goes; where all are hot, the least occupied. Published for Prequal (NSDI 2024).
 */
export class HotColdPolicy extends RoutingPolicy {
    override readonly name: string = "hotCold";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const drawn = sample(candidates.length, hotColdSampleSize, random);
        const threshold = hotThreshold(candidates);
        const cool = drawn.filter(index => {
            const candidate = candidates[index];
            return candidate !== undefined && occupancy(candidate) < threshold;
        });
        if (cool.length === 0) {
            return lowest(candidates, drawn, occupancy);
        }
        // A server of which nothing is known gets tried: otherwise it would never be known.
        return lowest(candidates, cool, candidate => candidate.latencyMs ?? 0);
    }
}

/** As {@link HotColdPolicy}, with the counts that peers tell of themselves in place of the servers' own word. */
export class HotColdWithPeersPolicy extends HotColdPolicy {
    override readonly name = "hotColdWithPeers";
    override readonly usesPeerLoads = true;
}

function hotThreshold(candidates: readonly Candidate[]): number {
    const sorted = candidates.map(occupancy).sort((a, b) => a - b);
    const at = sorted[Math.floor(hotQuantile * (sorted.length - 1))] ?? 0;
    // A full server is hot whatever the others are.
    return Math.min(1, Math.max(at, Number.EPSILON));
}

/**
 * Looks at every candidate and takes a free slot first: least occupied, the local availability zone before another
 * while it has a free slot, then the fastest. With at most a few dozen servers a service, looking at all costs less
 * than the bad draws of a small sample; the random order breaks ties differently at each gateway, against herding.
 */
export class FreeSlotFirstPolicy extends RoutingPolicy {
    override readonly name = "freeSlotFirst";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const all = sample(candidates.length, candidates.length, random);
        const local = all.filter(index => hasFreeSlot(candidates[index]) && candidates[index]?.local === true);
        return lowest(candidates, local.length > 0 ? local : all, occupancy);
    }
}

function hasFreeSlot(candidate: Candidate | undefined): boolean {
    return candidate !== undefined && knownInFlight(candidate) < candidate.server.slots;
}

/**
 * Goes by the expected requests in flight: own ones exactly, others' by the server's last word, which is believed less
 * the older it is, and in its place what others have on an average server of the service.
 *
 * A word that is left out when old makes a server look empty of others' work, and draws requests there; a word that is
 * kept sends a herd. In the time in which a request is answered a server's work turns over, so that is how fast belief
 * fades; with no belief left anywhere, least own in flight remains.
 */
export class ExpectedInFlightPolicy extends RoutingPolicy {
    override readonly name = "expectedInFlight";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const averageOthers = resolveAverageOthers(candidates);
        const all = sample(candidates.length, candidates.length, random);
        return lowest(candidates, all, candidate => {
            const expected = candidate.ownInFlight + expectOthers(candidate, averageOthers);
            return expected / candidate.server.slots + (candidate.local ? 0 : otherZoneCost);
        });
    }
}

function resolveAverageOthers(candidates: readonly Candidate[]): number {
    let sum = 0;
    let known = 0;
    for (const { lastReported } of candidates) {
        if (lastReported !== undefined) {
            sum += lastReported.othersInFlight;
            known++;
        }
    }
    return known === 0 ? 0 : sum / known;
}

function expectOthers(candidate: Candidate, averageOthers: number): number {
    const { lastReported, latencyMs } = candidate;
    if (lastReported === undefined) {
        return averageOthers;
    }
    const belief = Math.exp(-lastReported.ageMs / (latencyMs ?? defaultReportDecayMs));
    return belief * lastReported.othersInFlight + (1 - belief) * averageOthers;
}

const policies: readonly (() => RoutingPolicy)[] = [
    () => new RandomPolicy(),
    () => new RoundRobinPolicy(),
    () => new LeastOwnInFlightPolicy(),
    () => new TwoChoicesPolicy(),
    () => new HotColdPolicy(),
    () => new HotColdWithPeersPolicy(),
    () => new FreeSlotFirstPolicy(),
    () => new ExpectedInFlightPolicy(),
];

/** Names that {@link createRoutingPolicy} takes. */
export const routingPolicyNames: readonly string[] = policies.map(create => create().name);

/**
 * @param name - one of {@link routingPolicyNames}
 * @returns a new policy, or `undefined` where no policy has that name
 */
export function createRoutingPolicy(name: string): RoutingPolicy | undefined {
    for (const create of policies) {
        const policy = create();
        if (policy.name === name) {
            return policy;
        }
    }
    return undefined;
}
