import { availabilityZones } from "./constants.js";

/** @returns the availability zone of an index, modulo the number of zones */
export function zoneAt(number: number): string {
    return availabilityZones[number % availabilityZones.length] ?? availabilityZones[0];
}
