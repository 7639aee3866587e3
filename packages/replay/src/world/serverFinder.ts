import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type FleetSnapshot, type SearchStep, scoreServer } from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";

/** Finds a server for one request in several steps. The production implementation is `ServerSearch`. */
export abstract class ServerFinder {
    /** @param snapshot - the gateway's current view of the fleet */
    abstract step(snapshot: FleetSnapshot): SearchStep;
}

/** Picks a random server immediately. Serves as the baseline for the placement decisions. */
export class RandomFinder extends ServerFinder {
    readonly #random: RandomSource;

    constructor(random: RandomSource) {
        super();
        this.#random = random;
    }

    override step({ usable }: FleetSnapshot): SearchStep {
        const server = usable[this.#random.nextInt(usable.length)];
        return server === undefined
            ? { type: "refuse", reason: "noServer" }
            : { type: "send", server, score: createPlainScore(server), reason: "any", ageMs: 0 };
    }
}

function createPlainScore(server: RegisteredServer): ReturnType<typeof scoreServer> {
    return scoreServer({
        serverId: server.id,
        availabilityZone: server.availabilityZone,
        load: undefined,
        slots: server.slots,
        healthy: true,
        coldRemainingMs: 0,
    }, { typicalLatencyMs: 0, sentSinceReport: 0, sameZone: true, suspect: false, reservedSlots: 0 });
}
