import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, sleep } from "@galenaglade/http-parts";
import { type RandomSource } from "@galenaglade/routing";
import { outageQueryDelayMs, outageQueryPeers } from "../constants.js";
import { type RelayClient } from "./relayClient.js";

/** What an inquiry works with. */
export interface OutageVerifierDeps {
    /** Of this gateway, as in its registration. */
    readonly name: string;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly relayClient: RelayClient;
}

/**
 * Finds out whether the store was away or only this gateway was cut off from it. Both look the same from here, and after an outage
 * servers are believed whose entries are missing. After a cut, the missing entries are those of servers that left: they would be
 * given requests for as long.
 */
export class OutageVerifier {
    readonly #parts: OutageVerifierDeps;
    #isUnderWay = false;

    constructor(parts: OutageVerifierDeps) {
        this.#parts = parts;
    }

    /** Asks other gateways while any server is believed whose entry is missing, until one of them has vouched for the store. */
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

    /** @returns whether any gateway has said for how long it has heard the store */
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

    /** Draws anew for each inquiry, so that no gateway is asked by the whole fleet. */
    #draw<T>(values: readonly T[], count: number): readonly T[] {
        const left = [...values];
        const drawn: T[] = [];
        while (drawn.length < count && left.length > 0) {
            drawn.push(...left.splice(Math.floor(this.#parts.random.next() * left.length), 1));
        }
        return drawn;
    }
}
