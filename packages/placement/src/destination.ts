import { type Route } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";

/**
 * Draws the service that a request goes to, by the weights of its route. It stays with that service for all its tries,
 * so that a service short of room turns requests away and doesn't pass its share on to another.
 *
 * @param route - the request's route
 * @param random - draws
 * @returns the service's name, or `undefined` where no weight is above zero
 */
export function pickDestination(route: Route, random: RandomSource): string | undefined {
    let total = 0;
    for (const { weight } of route.destinations) {
        total += weight;
    }
    let drawn = random.next() * total;
    for (const { service, weight } of route.destinations) {
        drawn -= weight;
        if (weight > 0 && drawn < 0) {
            return service;
        }
    }
    return undefined;
}
