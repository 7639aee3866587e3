import { type Configuration, resolveConfiguration } from "@galenaglade/configuration";
import { target } from "./target.js";

/**
 * Generates a configuration of a given size, with the ratio of targets to services and the zones of the target size.
 *
 * @param targets - number of backend servers over all services
 */
export function generateConfiguration(targets: number): Configuration {
    const services = Math.max(1, Math.round(targets * target.services / target.targets));
    const zones = Array.from({ length: target.availabilityZones }, (_, i) => `zone-${i}`);
    return resolveConfiguration({
        timeZone: "Europe/Stockholm",
        availabilityZones: zones.map((name, i) => ({ name, region: `region-${i % target.regions}` })),
        services: Array.from({ length: services }, (_, i) => ({
            name: `service-${i}`,
            authorities: [`service-${i}.example`],
            patience: [
                {
                    callerKind: "analyst",
                    weekdays: ["mon", "tue", "wed", "thu", "fri"],
                    from: "07:00",
                    to: "18:00",
                    patienceMs: 800,
                },
                { callerKind: "default", patienceMs: 5_000 },
            ],
            backendServers: Array.from({ length: serversOf(i, targets, services) }, (_, j) => ({
                name: `server-${i}-${j}`,
                availabilityZone: zones[j % zones.length] ?? "",
                address: `10.${i >> 8}.${i & 255}.${j + 1}`,
                port: 8_080,
            })),
        })),
    }).unsafeCoerce();
}

/** Distributes the targets evenly; the first services get the remainder. */
function serversOf(service: number, targets: number, services: number): number {
    return Math.floor(targets / services) + (service < targets % services ? 1 : 0);
}
