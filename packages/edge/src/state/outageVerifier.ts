import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type RandomSource } from "@galenaglade/routing";
import { outageQueryDelayMs, outageQueryPeers } from "../constants.js";
import { type RelayClient } from "./relayClient.js";

/** Dependencies of {@link OutageVerifier}. */
export interface OutageVerifierDeps {
    /** Name of this gateway in its registration. */
    readonly name: string;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly relayClient: RelayClient;
}

/**
 * Asks other gateways whether the store was down or only this gateway was partitioned from it; locally, the two look
 * the same. After an outage of the store, servers stay in use although their entries have lapsed. After a partition,
 * the missing entries belong to servers that left, and keeping those in use would send them requests.
 */
export class OutageVerifier {
    readonly #parts: OutageVerifierDeps;
    #isUnderWay = false;

    constructor(parts: OutageVerifierDeps) {
        this.#parts = parts;
    }

    /** Queries peers until one reports its contact with the store, or no server with a lapsed entry is left in use. */
    async run(): Promise<void> {
        if (this.#isUnderWay) {
            return;
        }
        this.#isUnderWay = true;
        while (this.#parts.view.hasLapsedServers(this.#parts.clock.monotonicMs()) && !await this.#ask()) {
            await sleep(outageQueryDelayMs);
        }
        this.#isUnderWay = false;
    }

    /** @returns whether any gateway reported how long it has been in contact with the store */
    async #ask(): Promise<boolean> {
        const { name, view, clock, relayClient } = this.#parts;
        const others = view.registeredGateways().filter(gateway => gateway.name !== name);
        const answers = await Promise.all(
            this.#draw(others, outageQueryPeers).map(async ({ peerAddress: address }) => {
                const heard = await relayClient.fetchStoreContactMs(address);
                heard.ifRight(forMs => view.onPeerStoreContact(forMs, clock.monotonicMs()));
                return heard.isRight();
            }),
        );
        return answers.includes(true);
    }

    /** Picks a new random sample for each round, so that the fleet's queries don't all go to the same gateways. */
    #draw<T>(values: readonly T[], count: number): readonly T[] {
        const left = [...values];
        const drawn: T[] = [];
        while (drawn.length < count && left.length > 0) {
            drawn.push(...left.splice(Math.floor(this.#parts.random.next() * left.length), 1));
        }
        return drawn;
    }
}
