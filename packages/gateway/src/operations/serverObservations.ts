import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerObservation } from "@galenaglade/peers";
import { createServerId, type ServerLoadTracker, type ServerId } from "@galenaglade/routing";

/** What a gateway's word on its backend servers is made from. */
export interface ObservationSources {
    readonly configuration: ConfigurationRevision | undefined;
    readonly board: ServerLoadTracker;
    /** The state that the gateway holds a server to be in; `undefined` where it doesn't know. */
    readonly stateOf: (serverId: ServerId) => ServerObservation["state"];
}

/**
 * Describes the declared backend servers as this gateway knows them.
 *
 * @param sources - what it knows
 * @param service - only this service's; all where `undefined`
 * @param nowMs - the present monotonic time
 * @returns one observation for each declared server
 */
export function describeServers(
    { configuration, board, stateOf }: ObservationSources,
    service: string | undefined,
    nowMs: number,
): readonly ServerObservation[] {
    const services = configuration?.configuration.services ?? [];
    const asked = service === undefined ? services : services.filter(({ name }) => name === service);
    return asked.flatMap(({ name, backendServers }) =>
        backendServers.map(server => {
            const serverId = createServerId(name, server.name);
            const { ownInFlight, reportedInFlight, ageMs } = board.load(serverId, nowMs);
            const reportedAgeMs = reportedInFlight === undefined ? undefined : Math.round(ageMs);
            return { serverId, state: stateOf(serverId), ownInFlight, reportedInFlight, reportedAgeMs };
        })
    );
}
