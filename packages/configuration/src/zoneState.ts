/** Changes to availability zone states, as pure functions from one configuration to the next. */
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type AvailabilityZone, type Configuration, type ConfigurationInput } from "./model.js";

/** Whether an availability zone accepts new work. */
export type ZoneState = AvailabilityZone["state"];

/**
 * Takes one availability zone out of service or brings it back.
 *
 * @param cfg - the current configuration
 * @param name - name of the availability zone
 * @param state - the new state
 * @returns the changed configuration; `cfg` itself if the zone already has that state; `notFound` if it isn't declared
 */
export function setZoneState(cfg: Configuration, name: string, state: ZoneState): Either<Failure, Configuration> {
    const zone = cfg.availabilityZones.find(candidate => candidate.name === name);
    if (zone === undefined) {
        const declared = cfg.availabilityZones.map(candidate => candidate.name).join(", ");
        return Left(createFailure("notFound", `availability zone ${name} is not declared; declared: ${declared}`));
    }
    if (zone.state === state) {
        return Right(cfg);
    }
    const availabilityZones = cfg.availabilityZones.map(candidate =>
        candidate.name === name ? Object.freeze({ ...candidate, state }) : candidate
    );
    return Right(Object.freeze({ ...cfg, availabilityZones: Object.freeze(availabilityZones) }));
}

/**
 * Keeps the current state of each availability zone for which a new configuration declares none.
 *
 * Otherwise, applying a configuration file without zone states would use the schema's default and silently bring back a
 * zone that was taken out by an operator's call. No lock is needed: the new configuration is written only if the store
 * still has the revision from which the states were taken.
 *
 * @param declared - a configuration as written
 * @param present - the configuration to be replaced; `undefined` if there is none
 * @returns the same configuration, with the current state added to each zone that has one
 */
export function keepZoneStates(declared: ConfigurationInput, present: Configuration | undefined): ConfigurationInput {
    const states = new Map(present?.availabilityZones.map(zone => [zone.name, zone.state]));
    const availabilityZones = declared.availabilityZones.map(zone => ({
        ...zone,
        state: zone.state ?? states.get(zone.name),
    }));
    return { ...declared, availabilityZones };
}

/**
 * Finds services that have backend servers, but none in an availability zone that accepts new work. This may be
 * intended, so it is reported in the response and the change is not refused.
 *
 * @param cfg - the configuration
 * @returns service names
 */
export function findUnservedServices(cfg: Configuration): readonly string[] {
    const zonesInService = new Set(cfg.availabilityZones.filter(zone => zone.state === "in").map(zone => zone.name));
    const unserved = cfg.services.filter(service =>
        service.backendServers.length > 0
        && !service.backendServers.some(server => zonesInService.has(server.availabilityZone))
    );
    return unserved.map(service => service.name);
}
