import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerObservation } from "@galenaglade/peers";
import { createServerId, type ServerLoadTracker, type ServerId } from "@galenaglade/routing";

/** Sources of a gateway's observations of its backend servers. */
export interface ObservationSources {
    readonly configuration: ConfigurationRevision | undefined;
    readonly board: ServerLoadTracker;
    /** The state of a server as this gateway knows it; `undefined` if unknown. */
    readonly stateOf: (serverId: ServerId) => ServerObservation["state"];
}

/**
 * Describes the declared backend servers as observed by this gateway.
 *
 * @param sources - configuration, loads and states that this gateway holds
 * @param service - limits the result to this service; `undefined` for all services
 * @param nowMs - current monotonic time, in milliseconds
 * @returns one observation for each declared server
 */
export function describeServers(
    { configuration, board, stateOf }: ObservationSources,
    service: string | undefined,
    nowMs: number,
): readonly ServerObservation[] {
    const services = configuration?.configuration.services ?? [];
    const matching = service === undefined ? services : services.filter(({ name }) => name === service);
    return matching.flatMap(({ name, backendServers }) =>
        backendServers.map(server => {
            const serverId = createServerId(name, server.name);
            const { ownInFlight, reportedInFlight, ageMs } = board.load(serverId, nowMs);
            const reportedAgeMs = reportedInFlight === undefined ? undefined : Math.round(ageMs);
            return { serverId, state: stateOf(serverId), ownInFlight, reportedInFlight, reportedAgeMs };
        })
    );
}
