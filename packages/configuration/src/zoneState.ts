/** Changes of an availability zone's state, as pure steps from one configuration to the next. */
import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import { type AvailabilityZone, type Configuration, type ConfigurationInput } from "./model.js";

/** Whether an availability zone takes new work. */
export type ZoneState = AvailabilityZone["state"];

/**
 * Takes one availability zone out or brings it back, and leaves all else as it is.
 *
 * @param cfg - the present configuration
 * @param name - the availability zone
 * @param state - the state it is to have
 * @returns the changed configuration; `cfg` itself where the zone is in that state already; `notFound` where it isn't
 * declared
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
 * Gives each availability zone that says no state the one that it has now.
 *
 * The failure: a zone is taken out by call, then a configuration file that says nothing of zones is applied. With the
 * schema's default the zone would come back in while operators believe it out. Keeping the state is enough, since the
 * change is written only over the revision whose states were kept.
 *
 * @param declared - a configuration as written
 * @param present - the configuration that it is to replace; `undefined` where there is none
 * @returns the same declarations with a state for every zone that has one now
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
 * Finds the services that have backend servers, but none in an availability zone that takes work. Operators may want
 * just that, so it is said with the answer and refuses nothing.
 *
 * @param cfg - the configuration
 * @returns names of services
 */
export function findUnservedServices(cfg: Configuration): readonly string[] {
    const open = new Set(cfg.availabilityZones.filter(zone => zone.state === "in").map(zone => zone.name));
    const unserved = cfg.services.filter(service =>
        service.backendServers.length > 0 && !service.backendServers.some(server => open.has(server.availabilityZone))
    );
    return unserved.map(service => service.name);
}
