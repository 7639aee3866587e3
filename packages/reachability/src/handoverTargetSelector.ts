import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import {
    explorationShare,
    maxSuggestedTargets,
    reachableTtlMs,
    peerRetryDelayMs,
    unreachableTtlMs,
} from "./constants.js";

/** Dependencies and settings of {@link HandoverTargetSelector}. */
export interface HandoverTargetSelectorDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** Availability zone of this gateway. */
    readonly availabilityZone: string;
    readonly random: RandomSource;
}

interface PeerStatus {
    readonly reaches: boolean;
    readonly untilMs: number;
}

/** Reachability of one service from other gateways, by gateway name. */
type PeerStatuses = Map<string, PeerStatus>;

/**
 * Selects other gateways that can send the requests of a service which this host cannot reach, based on their answers
 * and on the outcomes of requests.
 */
export class HandoverTargetSelector {
    readonly #deps: HandoverTargetSelectorDeps;
    readonly #statuses = new Map<string, PeerStatuses>();
    readonly #unresponsiveUntilMs = new Map<string, number>();
    readonly #inFlight = new Map<string, number>();

    constructor(deps: HandoverTargetSelectorDeps) {
        this.#deps = deps;
    }

    /** Records whether a gateway reaches a service, according to its own answer or to the outcome of a request. */
    onReachability(service: string, gateway: string, reaches: boolean, nowMs: number): void {
        this.#statusesOf(service).set(gateway, {
            reaches,
            untilMs: nowMs + (reaches ? reachableTtlMs : unreachableTtlMs),
        });
        this.#unresponsiveUntilMs.delete(gateway);
    }

    /**
     * Records gateways that another one has suggested as reaching a service. They are used only where nothing else is
     * known of them.
     */
    onSuggested(service: string, gateways: readonly string[], nowMs: number): void {
        for (const gateway of gateways.slice(0, maxSuggestedTargets)) {
            if (this.#statusOf(service, gateway, nowMs) === undefined && gateway !== this.#deps.name) {
                this.#statusesOf(service).set(gateway, { reaches: true, untilMs: nowMs + unreachableTtlMs });
            }
        }
    }

    /** Records that a gateway did not answer. */
    onUnresponsive(gateway: string, nowMs: number): void {
        this.#unresponsiveUntilMs.set(gateway, nowMs + peerRetryDelayMs);
    }

    /**
     * Counts a request that is handed to a gateway.
     *
     * @returns a function to call when the request has ended
     */
    trackRequest(gateway: string): () => void {
        this.#inFlight.set(gateway, this.#load(gateway) + 1);
        return () => {
            const remaining = this.#load(gateway) - 1;
            if (remaining > 0) {
                this.#inFlight.set(gateway, remaining);
            }
            else {
                this.#inFlight.delete(gateway);
            }
        };
    }

    /** @returns names of a few gateways that are known to reach a service */
    suggest(service: string, nowMs: number): readonly string[] {
        const names: string[] = [];
        for (const [gateway, { reaches, untilMs }] of this.#statusesOf(service)) {
            if (reaches && nowMs < untilMs && !this.#isUnresponsive(gateway, nowMs)) {
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
        const { reaching, unknown } = this.#classify(service, gateways, tried, nowMs);
        const explores = unknown.length > 0 && this.#deps.random.next() < explorationShare;
        const eligible = reaching.length === 0 || explores ? unknown : this.#preferOwnZone(reaching, gateways);
        const [a, b] = this.#drawRandom(eligible, 2);
        if (a === undefined || b === undefined) {
            return a;
        }
        return this.#load(b.name) < this.#load(a.name) ? b : a;
    }

    /** @returns gateways to ask whether they reach a service, those first that others have suggested */
    choosePeersToQuery(
        service: string,
        gateways: readonly RegisteredGateway[],
        queried: ReadonlySet<string>,
        count: number,
        nowMs: number,
    ): readonly RegisteredGateway[] {
        const others = gateways.filter(({ name }) => name !== this.#deps.name && !queried.has(name));
        const isSuggested = ({ name }: RegisteredGateway): boolean =>
            this.#statusOf(service, name, nowMs)?.reaches === true;
        const suggested = others.filter(isSuggested);
        const unknown = others.filter(gateway => !isSuggested(gateway) && !this.#isUnresponsive(gateway.name, nowMs));
        return [...this.#drawRandom(suggested, count), ...this.#drawRandom(unknown, count)].slice(0, count);
    }

    /** Drops gateways that are no longer registered. */
    retain(gateways: ReadonlySet<string>): void {
        for (const byGateway of [this.#unresponsiveUntilMs, ...this.#statuses.values()]) {
            for (const gateway of byGateway.keys()) {
                if (!gateways.has(gateway)) {
                    byGateway.delete(gateway);
                }
            }
        }
    }

    /** Gateways that may get a request: those known to reach the service, and those of unknown status. */
    #classify(
        service: string,
        gateways: readonly RegisteredGateway[],
        tried: ReadonlySet<string>,
        nowMs: number,
    ): { readonly reaching: readonly RegisteredGateway[]; readonly unknown: readonly RegisteredGateway[]; } {
        const reaching: RegisteredGateway[] = [];
        const unknown: RegisteredGateway[] = [];
        for (const gateway of gateways) {
            const { name } = gateway;
            const status = this.#statusOf(service, name, nowMs);
            const isExcluded = name === this.#deps.name || tried.has(name) || status?.reaches === false;
            if (!isExcluded && !this.#isUnresponsive(name, nowMs)) {
                (status === undefined ? unknown : reaching).push(gateway);
            }
        }
        return { reaching, unknown };
    }

    /**
     * Prefers gateways of the own zone, unless fewer than half of that zone's gateways reach the service: those few
     * would get the load of all the others.
     */
    #preferOwnZone(
        reaching: readonly RegisteredGateway[],
        gateways: readonly RegisteredGateway[],
    ): readonly RegisteredGateway[] {
        const isInOwnZone = ({ availabilityZone }: RegisteredGateway): boolean =>
            availabilityZone === this.#deps.availabilityZone;
        const inOwnZone = reaching.filter(isInOwnZone);
        return inOwnZone.length * 2 >= gateways.filter(isInOwnZone).length ? inOwnZone : reaching;
    }

    #drawRandom<T>(values: readonly T[], count: number): readonly T[] {
        const remaining = [...values];
        const drawn: T[] = [];
        while (drawn.length < count && remaining.length > 0) {
            drawn.push(...remaining.splice(Math.floor(this.#deps.random.next() * remaining.length), 1));
        }
        return drawn;
    }

    #statusOf(service: string, gateway: string, nowMs: number): PeerStatus | undefined {
        const status = this.#statuses.get(service)?.get(gateway);
        return status !== undefined && nowMs < status.untilMs ? status : undefined;
    }

    #statusesOf(service: string): PeerStatuses {
        const statuses = this.#statuses.get(service) ?? new Map<string, PeerStatus>();
        this.#statuses.set(service, statuses);
        return statuses;
    }

    #isUnresponsive(gateway: string, nowMs: number): boolean {
        return nowMs < (this.#unresponsiveUntilMs.get(gateway) ?? -Infinity);
    }

    #load(gateway: string): number {
        return this.#inFlight.get(gateway) ?? 0;
    }
}
