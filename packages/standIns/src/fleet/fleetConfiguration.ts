import { type ConfigurationInput } from "@galenaglade/configuration";

type ServiceInput = ConfigurationInput["services"][number];
type BackendServerInput = ServiceInput["backendServers"][number];

/**
 * Truncates the list of backend servers of each service.
 *
 * @param cfg - the configuration
 * @param perService - maximum number of backend servers per service
 * @returns a copy of the configuration
 */
export function limitBackendServers(cfg: ConfigurationInput, perService: number): ConfigurationInput {
    return mapBackendServers(cfg, service => service.backendServers.slice(0, perService));
}

/**
 * Replaces the address of every backend server by the loopback address and port of its stand-in.
 *
 * @param cfg - the configuration
 * @param portOf - port of a service's backend server on 127.0.0.1
 * @returns a copy of the configuration
 */
export function useLoopbackAddresses(
    cfg: ConfigurationInput,
    portOf: (service: string, server: string) => number,
): ConfigurationInput {
    return mapBackendServers(cfg, service =>
        service.backendServers.map(server => ({
            ...server,
            address: "127.0.0.1",
            port: portOf(service.name, server.name),
        })));
}

function mapBackendServers(
    cfg: ConfigurationInput,
    map: (service: ServiceInput) => readonly BackendServerInput[],
): ConfigurationInput {
    return { ...cfg, services: cfg.services.map(service => ({ ...service, backendServers: map(service) })) };
}
