import { availabilityZones } from "./constants.js";

/** @returns the availability zone of a number, taken in turn */
export function zoneAt(number: number): string {
    return availabilityZones[number % availabilityZones.length] ?? availabilityZones[0];
}
