import { type FleetView } from "@galenaglade/fleet-state";
import { maxNotFoundStalenessMs } from "../constants.js";

/**
 * @param view - what is believed of the fleet
 * @param nowMs - the present time
 * @returns whether a route or a key that isn't known here doesn't exist: any that was added before it had to be in force by now is known
 */
export function isStateFresh(view: FleetView, nowMs: number): boolean {
    return nowMs - view.currentAsOfMs <= maxNotFoundStalenessMs;
}
