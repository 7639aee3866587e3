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
    readonly #deps: OutageVerifierDeps;
    #isRunning = false;

    constructor(deps: OutageVerifierDeps) {
        this.#deps = deps;
    }

    /** Queries peers until one reports its contact with the store, or no server with a lapsed entry is left in use. */
    async run(): Promise<void> {
        if (this.#isRunning) {
            return;
        }
        this.#isRunning = true;
        while (this.#deps.view.hasLapsedServers(this.#deps.clock.monotonicMs()) && !await this.#queryPeers()) {
            await sleep(outageQueryDelayMs);
        }
        this.#isRunning = false;
    }

    /** @returns whether any gateway reported how long it has been in contact with the store */
    async #queryPeers(): Promise<boolean> {
        const { name, view, clock, relayClient } = this.#deps;
        const others = view.registeredGateways().filter(gateway => gateway.name !== name);
        const results = await Promise.all(
            this.#pickSample(others, outageQueryPeers).map(async ({ peerAddress: address }) => {
                const contact = await relayClient.fetchStoreContactMs(address);
                contact.ifRight(contactMs => view.onPeerStoreContact(contactMs, clock.monotonicMs()));
                return contact.isRight();
            }),
        );
        return results.includes(true);
    }

    /** Picks a new random sample for each round, so that the fleet's queries don't all go to the same gateways. */
    #pickSample<T>(candidates: readonly T[], count: number): readonly T[] {
        const remaining = [...candidates];
        const sample: T[] = [];
        while (sample.length < count && remaining.length > 0) {
            sample.push(...remaining.splice(Math.floor(this.#deps.random.next() * remaining.length), 1));
        }
        return sample;
    }
}
