import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";

/** Behind every trusted server, whatever its zone. */
const suspectRank = 3;

/** What decides whom to ask first. */
export interface AskOrderInput {
    /** Those that may be given work. */
    readonly servers: readonly RegisteredServer[];
    /** The gateway's own. */
    readonly availabilityZone: string;
    /** Those of its own zone that this gateway asks before others. */
    readonly subset: ReadonlySet<string>;
    readonly isSuspect: (serverId: string) => boolean;
    readonly random: RandomSource;
}

/**
 * Orders a service's servers by who is to be asked first: trusted ones before suspected ones, those of the gateway's own
 * availability zone before others, there those of its subset, and drawn anew each time within that, so that no server is
 * asked by everyone.
 *
 * @param input - what decides
 */
export function orderToAsk(input: AskOrderInput): readonly RegisteredServer[] {
    const { servers, availabilityZone, subset, isSuspect, random } = input;
    const rank = ({ id, availabilityZone: zone }: RegisteredServer): number => {
        if (zone !== availabilityZone) {
            return 2;
        }
        return subset.has(id) ? 0 : 1;
    };
    const keyed = servers.map(server => ({
        server,
        key: (isSuspect(server.id) ? suspectRank : 0) + rank(server) + random.next(),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({ server }) => server);
}
