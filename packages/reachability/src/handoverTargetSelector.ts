import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import {
    explorationShare,
    maxSuggestedTargets,
    reachableTtlMs,
    peerRetryDelayMs,
    unreachableTtlMs,
} from "./constants.js";

/** Dependencies and settings of {@link HelperSelector}. */
export interface HandoverTargetSelectorDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** Availability zone of this gateway. */
    readonly availabilityZone: string;
    readonly random: RandomSource;
}

interface Word {
    readonly reaches: boolean;
    readonly untilMs: number;
}

/** Reachability of one service from other gateways, by gateway name. */
type Words = Map<string, Word>;

/**
 * Selects other gateways that can send the requests of a service which this host cannot reach, based on their answers
 * and on the outcomes of requests.
 */
export class HandoverTargetSelector {
    readonly #parts: HandoverTargetSelectorDeps;
    readonly #words = new Map<string, Words>();
    readonly #silentUntilMs = new Map<string, number>();
    readonly #inFlight = new Map<string, number>();

    constructor(parts: HandoverTargetSelectorDeps) {
        this.#parts = parts;
    }

    /** Records whether a gateway reaches a service, according to its own answer or to the outcome of a request. */
    onReachability(service: string, gateway: string, reaches: boolean, nowMs: number): void {
        this.#wordsOf(service).set(gateway, {
            reaches,
            untilMs: nowMs + (reaches ? reachableTtlMs : unreachableTtlMs),
        });
        this.#silentUntilMs.delete(gateway);
    }

    /**
     * Records gateways that another one has suggested as reaching a service. They are used only where nothing else is
     * known of them.
     */
    onSuggested(service: string, gateways: readonly string[], nowMs: number): void {
        for (const gateway of gateways.slice(0, maxSuggestedTargets)) {
            if (this.#wordOf(service, gateway, nowMs) === undefined && gateway !== this.#parts.name) {
                this.#wordsOf(service).set(gateway, { reaches: true, untilMs: nowMs + unreachableTtlMs });
            }
        }
    }

    /** Records that a gateway did not answer. */
    onUnresponsive(gateway: string, nowMs: number): void {
        this.#silentUntilMs.set(gateway, nowMs + peerRetryDelayMs);
    }

    /**
     * Counts a request that is handed to a gateway.
     *
     * @returns a function to call when the request has ended
     */
    trackRequest(gateway: string): () => void {
        this.#inFlight.set(gateway, this.#load(gateway) + 1);
        return () => {
            const left = this.#load(gateway) - 1;
            if (left > 0) {
                this.#inFlight.set(gateway, left);
            }
            else {
                this.#inFlight.delete(gateway);
            }
        };
    }

    /** @returns names of a few gateways that are known to reach a service */
    suggest(service: string, nowMs: number): readonly string[] {
        const names: string[] = [];
        for (const [gateway, { reaches, untilMs }] of this.#wordsOf(service)) {
            if (reaches && nowMs < untilMs && !this.#isSilent(gateway, nowMs)) {
                names.push(gateway);
            }
            if (names.length === maxSuggestedTargets) {
                break;
            }
        }
        return names;
    }

    /**
     * @param service - the service to reach
     * @param gateways - all registered gateways
     * @param tried - names of the gateways that have already had the request
     * @returns the gateway to hand a request to, the less loaded one of two random choices; `undefined` if none is
     * left
     */
    choose(
        service: string,
        gateways: readonly RegisteredGateway[],
        tried: ReadonlySet<string>,
        nowMs: number,
    ): RegisteredGateway | undefined {
        const { good, unknown } = this.#sort(service, gateways, tried, nowMs);
        const explores = unknown.length > 0 && this.#parts.random.next() < explorationShare;
        const eligible = good.length === 0 || explores ? unknown : this.#findNear(good, gateways);
        const [a, b] = this.#draw(eligible, 2);
        if (a === undefined || b === undefined) {
            return a;
        }
        return this.#load(b.name) < this.#load(a.name) ? b : a;
    }

    /** @returns gateways to ask whether they reach a service, those first that others have suggested */
    choosePeersToQuery(
        service: string,
        gateways: readonly RegisteredGateway[],
        asked: ReadonlySet<string>,
        count: number,
        nowMs: number,
    ): readonly RegisteredGateway[] {
        const others = gateways.filter(({ name }) => name !== this.#parts.name && !asked.has(name));
        const isNamed = ({ name }: RegisteredGateway): boolean => this.#wordOf(service, name, nowMs)?.reaches === true;
        const named = others.filter(isNamed);
        const unknown = others.filter(gateway => !isNamed(gateway) && !this.#isSilent(gateway.name, nowMs));
        return [...this.#draw(named, count), ...this.#draw(unknown, count)].slice(0, count);
    }

    /** Drops gateways that are no longer registered. */
    retain(gateways: ReadonlySet<string>): void {
        for (const known of [this.#silentUntilMs, ...this.#words.values()]) {
            for (const gateway of known.keys()) {
                if (!gateways.has(gateway)) {
                    known.delete(gateway);
                }
            }
        }
    }

    /** Gateways that may get a request: those known to reach the service, and those of unknown status. */
    #sort(
        service: string,
        gateways: readonly RegisteredGateway[],
        tried: ReadonlySet<string>,
        nowMs: number,
    ): { readonly good: readonly RegisteredGateway[]; readonly unknown: readonly RegisteredGateway[]; } {
        const good: RegisteredGateway[] = [];
        const unknown: RegisteredGateway[] = [];
        for (const gateway of gateways) {
            const { name } = gateway;
            const word = this.#wordOf(service, name, nowMs);
            const isLeftOut = name === this.#parts.name || tried.has(name) || word?.reaches === false;
            if (!isLeftOut && !this.#isSilent(name, nowMs)) {
                (word === undefined ? unknown : good).push(gateway);
            }
        }
        return { good, unknown };
    }

    /**
     * Prefers gateways of the own zone, unless fewer than half of that zone's gateways reach the service: those few
     * would get the load of all the others.
     */
    #findNear(
        good: readonly RegisteredGateway[],
        gateways: readonly RegisteredGateway[],
    ): readonly RegisteredGateway[] {
        const isNear = ({ availabilityZone }: RegisteredGateway): boolean =>
            availabilityZone === this.#parts.availabilityZone;
        const near = good.filter(isNear);
        return near.length * 2 >= gateways.filter(isNear).length ? near : good;
    }

    #draw<T>(values: readonly T[], count: number): readonly T[] {
        const left = [...values];
        const drawn: T[] = [];
        while (drawn.length < count && left.length > 0) {
            drawn.push(...left.splice(Math.floor(this.#parts.random.next() * left.length), 1));
        }
        return drawn;
    }

    #wordOf(service: string, gateway: string, nowMs: number): Word | undefined {
        const word = this.#words.get(service)?.get(gateway);
        return word !== undefined && nowMs < word.untilMs ? word : undefined;
    }

    #wordsOf(service: string): Words {
        const words = this.#words.get(service) ?? new Map<string, Word>();
        this.#words.set(service, words);
        return words;
    }

    #isSilent(gateway: string, nowMs: number): boolean {
        return nowMs < (this.#silentUntilMs.get(gateway) ?? -Infinity);
    }

    #load(gateway: string): number {
        return this.#inFlight.get(gateway) ?? 0;
    }
}
