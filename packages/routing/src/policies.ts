import { defaultReportDecayMs, otherZoneCost, hotQuantile, hotColdSampleSize } from "./constants.js";
import { type RandomSource } from "./randomSource.js";
import { type Candidate, RoutingPolicy } from "./routingPolicy.js";
import { type ServerId } from "./serverSignal.js";

/** Known requests in flight from all gateways; this gateway's count is current, the others' may be missing. */
function knownInFlight(candidate: Candidate): number {
    return candidate.ownInFlight + (candidate.othersInFlight ?? 0);
}

/** Requests in flight per slot, which makes servers of different sizes comparable. */
function occupancy(candidate: Candidate): number {
    return knownInFlight(candidate) / candidate.server.slots;
}

/** Draws the indexes of at most `size` different candidates in random order. */
function drawSample(count: number, size: number, random: RandomSource): readonly number[] {
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

/** Finds the index with the lowest cost; on a tie, the one that comes first in `indexes`. */
function findLowestCost(
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

/** Baseline: chooses uniformly at random. */
export class RandomPolicy extends RoutingPolicy {
    override readonly name = "random";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        return random.nextInt(candidates.length);
    }
}

/** Baseline: chooses the candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
    override readonly name = "roundRobin";
    readonly #lastTurns = new Map<ServerId, number>();
    #turn = 0;

    override choose(candidates: readonly Candidate[]): number {
        // The last turn is kept per server. A list position would be wrong after candidates change, and the name of the
        // last server would be lost whenever a request of another service comes in between: either way, the first
        // server of a service would get nearly all requests.
        const all = candidates.map((_, i) => i);
        const chosen = findLowestCost(candidates, all, candidate => this.#lastTurns.get(candidate.serverId) ?? 0);
        const server = candidates[chosen]?.serverId;
        if (server !== undefined) {
            this.#lastTurns.set(server, ++this.#turn);
        }
        return chosen;
    }
}

/** Baseline: chooses the server with the fewest requests per slot in flight from this gateway. */
export class LeastOwnInFlightPolicy extends RoutingPolicy {
    override readonly name = "leastOwnInFlight";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const all = drawSample(candidates.length, candidates.length, random);
        return findLowestCost(candidates, all, candidate => candidate.ownInFlight / candidate.server.slots);
    }
}

/** Baseline: chooses the less occupied of two random candidates (power of two choices). */
export class TwoChoicesPolicy extends RoutingPolicy {
    override readonly name = "twoChoices";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        return findLowestCost(candidates, drawSample(candidates.length, 2, random), occupancy);
    }
}

/**
 * Hot-cold selection as published for Prequal (NSDI 2024). Of a small random sample, servers whose occupancy lies in
 * the upper quantile of all candidates are hot. Chooses the fastest server that is not hot, or the least occupied one
 * if all are hot.
 */
export class HotColdPolicy extends RoutingPolicy {
    override readonly name: string = "hotCold";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const drawn = drawSample(candidates.length, hotColdSampleSize, random);
        const threshold = hotThreshold(candidates);
        const cool = drawn.filter(index => {
            const candidate = candidates[index];
            return candidate !== undefined && occupancy(candidate) < threshold;
        });
        if (cool.length === 0) {
            return findLowestCost(candidates, drawn, occupancy);
        }
        // A server of unknown latency is preferred, since it would otherwise never be measured.
        return findLowestCost(candidates, cool, candidate => candidate.latencyMs ?? 0);
    }
}

/** {@link HotColdPolicy} with in-flight counts from the other gateways instead of the servers' load reports. */
export class HotColdWithPeersPolicy extends HotColdPolicy {
    override readonly name = "hotColdWithPeers";
    override readonly usesPeerLoads = true;
}

function hotThreshold(candidates: readonly Candidate[]): number {
    const sorted = candidates.map(occupancy).sort((a, b) => a - b);
    const at = sorted[Math.floor(hotQuantile * (sorted.length - 1))] ?? 0;
    // A full server is always hot. The lower bound keeps idle servers from being hot when all are idle.
    return Math.min(1, Math.max(at, Number.EPSILON));
}

/**
 * Chooses the least occupied server with a free slot in the local availability zone, or the least occupied of all
 * candidates if there is none. A service has at most a few dozen servers, so evaluating all of them costs less than the
 * poor choices of a small sample. The random order breaks ties differently at each gateway, which prevents herding.
 */
export class FreeSlotFirstPolicy extends RoutingPolicy {
    override readonly name = "freeSlotFirst";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const all = drawSample(candidates.length, candidates.length, random);
        const local = all.filter(index => hasFreeSlot(candidates[index]) && candidates[index]?.local === true);
        return findLowestCost(candidates, local.length > 0 ? local : all, occupancy);
    }
}

function hasFreeSlot(candidate: Candidate | undefined): boolean {
    return candidate !== undefined && knownInFlight(candidate) < candidate.server.slots;
}

/**
 * Chooses the server with the fewest expected requests in flight per slot. This gateway's requests are counted exactly;
 * those of other gateways are estimated from the server's last load report, which is blended with the average over the
 * service's servers as it ages.
 *
 * If an old report were dropped, the server would look free of other gateways' requests and attract too many; if it
 * kept its full weight, every gateway would send its requests to the same server. A server's requests in flight are
 * replaced within about one request latency, so the weight of a report decays at that rate. Without usable reports, the
 * choice is by this gateway's own requests in flight.
 */
export class ExpectedInFlightPolicy extends RoutingPolicy {
    override readonly name = "expectedInFlight";

    override choose(candidates: readonly Candidate[], random: RandomSource): number {
        const averageOthers = averageOthersInFlight(candidates);
        const all = drawSample(candidates.length, candidates.length, random);
        return findLowestCost(candidates, all, candidate => {
            const expected = candidate.ownInFlight + estimateOthersInFlight(candidate, averageOthers);
            return expected / candidate.server.slots + (candidate.local ? 0 : otherZoneCost);
        });
    }
}

function averageOthersInFlight(candidates: readonly Candidate[]): number {
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

function estimateOthersInFlight(candidate: Candidate, averageOthers: number): number {
    const { lastReported, latencyMs } = candidate;
    if (lastReported === undefined) {
        return averageOthers;
    }
    const reportWeight = Math.exp(-lastReported.ageMs / (latencyMs ?? defaultReportDecayMs));
    return reportWeight * lastReported.othersInFlight + (1 - reportWeight) * averageOthers;
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

/** Names accepted by {@link createRoutingPolicy}. */
export const routingPolicyNames: readonly string[] = policies.map(create => create().name);

/**
 * @param name - one of {@link routingPolicyNames}
 * @returns a new policy, or `undefined` if no policy has that name
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
