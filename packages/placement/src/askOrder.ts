import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";

/**
 * Orders a service's servers by who is to be asked first: trusted ones before suspected ones, those of the gateway's own
 * availability zone before others, and drawn anew each time within that, so that no server is asked by everyone.
 *
 * @param servers - those that may be given work
 * @param availabilityZone - the gateway's own
 * @param isSuspect - asked for each server
 * @param random - draws the order
 */
export function orderToAsk(
    servers: readonly RegisteredServer[],
    availabilityZone: string,
    isSuspect: (serverId: string) => boolean,
    random: RandomSource,
): readonly RegisteredServer[] {
    const keyed = servers.map(server => ({
        server,
        key: (isSuspect(server.id) ? 2 : 0) + (server.availabilityZone === availabilityZone ? 0 : 1) + random.next(),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({ server }) => server);
}
