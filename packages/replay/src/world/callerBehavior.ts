import { type RandomSource } from "@galenaglade/routing";
import { type RequestKind } from "./scenario.js";

/** Overrides for the behavior that the request kinds of a scenario define. */
export interface CallerBehaviorOverrides {
    /** Factor on the usual request rate at a time. */
    readonly rateFactor?: (nowMs: number) => number;
    readonly resolvePatienceMs?: (random: RandomSource, nowMs: number) => number;
    readonly resolvePriority?: (random: RandomSource) => number;
}

interface Burst {
    readonly factor: number;
    readonly kind: string | undefined;
}

interface EarlyDeparture {
    readonly share: number;
    readonly afterMs: number;
}

interface Impatience {
    readonly share: number;
    readonly tries: number;
}

interface Move {
    readonly share: number;
    readonly from: string;
    readonly zone: string;
}

/** Current behavior of the callers. Several events that change it may overlap, and each ends independently. */
export class CallerBehavior {
    readonly bursts = new Set<Burst>();
    readonly earlyDepartures = new Set<EarlyDeparture>();
    readonly impatience = new Set<Impatience>();
    readonly moves = new Set<Move>();
    readonly #zones: readonly string[];
    readonly #overrides: CallerBehaviorOverrides;

    constructor(zones: readonly string[], overrides: CallerBehaviorOverrides) {
        this.#zones = zones;
        this.#overrides = overrides;
    }

    /** @returns factor on the usual rate of a request kind */
    factorOf({ name }: RequestKind, nowMs: number): number {
        let factor = this.#overrides.rateFactor?.(nowMs) ?? 1;
        for (const burst of this.bursts) {
            factor *= burst.kind === undefined || burst.kind === name ? burst.factor : 1;
        }
        return factor;
    }

    /** @returns how long the next caller waits for its response, in milliseconds */
    drawPatienceMs(kind: RequestKind, random: RandomSource, nowMs: number): number {
        for (const { share, afterMs } of this.earlyDepartures) {
            if (random.next() < share) {
                return afterMs;
            }
        }
        return this.#overrides.resolvePatienceMs?.(random, nowMs) ?? kind.patienceMs;
    }

    /** @returns number of retries of an impatient caller, or `undefined` for a caller that honors Retry-After */
    drawImpatientTries(random: RandomSource): number | undefined {
        for (const { share, tries } of this.impatience) {
            if (random.next() < share) {
                return tries;
            }
        }
        return undefined;
    }

    drawPriority(kind: RequestKind, random: RandomSource): number {
        return this.#overrides.resolvePriority?.(random) ?? kind.priority;
    }

    drawZone(random: RandomSource): string {
        const homeZone = this.#zones[random.nextInt(this.#zones.length)] ?? "";
        for (const { share, from, zone } of this.moves) {
            if (from === homeZone && random.next() < share) {
                return zone;
            }
        }
        return homeZone;
    }
}
