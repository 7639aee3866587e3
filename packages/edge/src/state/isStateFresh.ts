import { type FleetView } from "@galenaglade/fleet-state";
import { maxNotFoundStalenessMs } from "../constants.js";

/**
 * @param view - this gateway's view of the fleet
 * @param nowMs - current monotonic time in milliseconds
 * @returns whether the view is so recent that an unknown route or key can be reported as nonexistent: the view has all
 * those that were added early enough that they have to be in force by now
 */
export function isStateFresh(view: FleetView, nowMs: number): boolean {
    return nowMs - view.currentAsOfMs <= maxNotFoundStalenessMs;
}
