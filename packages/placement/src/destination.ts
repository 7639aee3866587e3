import { type Route } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";

/**
 * Picks a request's service at random by the weights of its route. The request keeps that service for all its retries,
 * so that a service short of capacity rejects requests instead of shifting its share to another one.
 *
 * @param route - the request's route
 * @param random - source of randomness
 * @returns the service's name, or `undefined` if no weight is above zero
 */
export function pickDestination(route: Route, random: RandomSource): string | undefined {
    let total = 0;
    for (const { weight } of route.destinations) {
        total += weight;
    }
    let remaining = random.next() * total;
    for (const { service, weight } of route.destinations) {
        remaining -= weight;
        if (weight > 0 && remaining < 0) {
            return service;
        }
    }
    return undefined;
}
