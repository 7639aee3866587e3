import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";

/**
 * Chooses how many servers to probe in parallel: the smallest number that contains a good server with the target
 * probability. Each further probe costs CPU time at the gateway and the server, for hardly any benefit when most
 * servers are good.
 *
 * @param goodChances - probability that each server is good, from 0 to 1, in probe order
 * @param policy - the target probability and the maximum number of parallel probes
 * @returns the number of servers to probe
 */
export function chooseProbeCount(
    goodChances: readonly number[],
    { mostAskedAtOnce, wantedChance }: PlacementPolicy = defaultPlacementPolicy,
): number {
    let noneGoodChance = 1;
    let count = 0;
    for (const goodChance of goodChances) {
        if (count >= mostAskedAtOnce || noneGoodChance <= 1 - wantedChance) {
            break;
        }
        noneGoodChance *= 1 - goodChance;
        count++;
    }
    return count;
}
