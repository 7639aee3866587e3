import { type ConfigurationInput } from "@galenaglade/configuration";

type ServiceInput = ConfigurationInput["services"][number];
type BackendServerInput = ServiceInput["backendServers"][number];

/**
 * Keeps the first few backend servers of each service.
 *
 * @param cfg - declarations
 * @param perService - how many
 */
export function limitBackendServers(cfg: ConfigurationInput, perService: number): ConfigurationInput {
    return mapServers(cfg, service => service.backendServers.slice(0, perService));
}

/**
 * Moves every backend server to where its stand-in listens.
 *
 * @param cfg - declarations
 * @param portOf - port of a service's backend server on 127.0.0.1
 */
export function useLoopbackAddresses(
    cfg: ConfigurationInput,
    portOf: (service: string, server: string) => number,
): ConfigurationInput {
    return mapServers(cfg, service =>
        service.backendServers.map(server => ({
            ...server,
            address: "127.0.0.1",
            port: portOf(service.name, server.name),
        })));
}

function mapServers(
    cfg: ConfigurationInput,
    map: (service: ServiceInput) => readonly BackendServerInput[],
): ConfigurationInput {
    return { ...cfg, services: cfg.services.map(service => ({ ...service, backendServers: map(service) })) };
}
