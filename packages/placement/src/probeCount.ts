import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";

/**
 * Chooses how many servers to ask at once: as few as hold a good one with the chance wanted. Each further question costs
 * the gateway and the server processor time and brings hardly anything where most servers are good.
 *
 * @param chances - of the servers in the order in which they would be asked, each from 0 to 1
 * @param policy - the chance wanted, and the most at once
 */
export function chooseProbeCount(
    chances: readonly number[],
    { mostAskedAtOnce, wantedChance }: PlacementPolicy = defaultPlacementPolicy,
): number {
    let allPoor = 1;
    let count = 0;
    for (const chance of chances) {
        if (count >= mostAskedAtOnce || allPoor <= 1 - wantedChance) {
            break;
        }
        allPoor *= 1 - chance;
        count++;
    }
    return count;
}
