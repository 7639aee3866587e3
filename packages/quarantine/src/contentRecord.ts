import { type CrashStrike } from "@galenaglade/fleet-state";
import {
    quarantineGenerationThreshold,
    quarantineRetentionMs,
    quarantineStrikeThreshold,
    suspicionRetentionMs,
} from "./constants.js";

/** A strike, with the ledger version from which on this gateway has known it. */
export interface KnownStrike {
    readonly strike: CrashStrike;
    readonly knownSinceVersion: number;
}

/** Strikes against one request content: each server incarnation that crashed under it counts once. */
export class ContentRecord {
    readonly #strikes = new Map<string, KnownStrike>();

    /**
     * Adds a strike. If several gateways report the same server incarnation, the strike of the lowest generation
     * counts: it is the least incriminating.
     */
    add(knownStrike: KnownStrike): void {
        const existing = this.#strikes.get(knownStrike.strike.incarnation);
        if (existing === undefined || existing.strike.generation > knownStrike.strike.generation) {
            this.#strikes.set(knownStrike.strike.incarnation, knownStrike);
        }
    }

    /** Number of server incarnations that crashed. */
    get strikes(): number {
        return this.#strikes.size;
    }

    /** Highest generation of the strikes. */
    get generations(): number {
        return Math.max(0, ...this.#map(({ strike }) => strike.generation));
    }

    /** When the record expires unless another strike is added. */
    get expiresAtEpochMs(): number {
        return this.#lastStrikeAtEpochMs + (this.isQuarantined ? quarantineRetentionMs : suspicionRetentionMs);
    }

    /**
     * @param trialDelaysMs - delays from the latest strike to each trial, in milliseconds
     * @returns when the next trial is due; `Infinity` if all trials have been made
     */
    nextTrialAtEpochMs(trialDelaysMs: readonly number[]): number {
        const trials = this.#map(({ strike }) => strike.trial).filter(Boolean).length;
        return this.#lastStrikeAtEpochMs + (trialDelaysMs[trials] ?? Infinity);
    }

    get isQuarantined(): boolean {
        return this.strikes >= quarantineStrikeThreshold && this.generations >= quarantineGenerationThreshold;
    }

    /**
     * @returns the ledger version from which on an incarnation's crash has been known; `undefined` if it isn't known
     */
    knownSinceVersion(incarnation: string): number | undefined {
        return this.#strikes.get(incarnation)?.knownSinceVersion;
    }

    /** @returns the generation of a strike against a request that was sent at a ledger version */
    generationAt(ledgerVersion: number): number {
        return 1 + Math.max(0, ...this.#knownAt(ledgerVersion).map(({ strike }) => strike.generation));
    }

    /** @returns the incarnations whose crashes were known at a ledger version */
    incarnationsAt(ledgerVersion: number): readonly string[] {
        return this.#knownAt(ledgerVersion).map(({ strike }) => strike.incarnation);
    }

    get #lastStrikeAtEpochMs(): number {
        return Math.max(0, ...this.#map(({ strike }) => strike.atEpochMs));
    }

    #knownAt(ledgerVersion: number): readonly KnownStrike[] {
        return [...this.#strikes.values()].filter(({ knownSinceVersion }) => knownSinceVersion <= ledgerVersion);
    }

    #map<T>(select: (knownStrike: KnownStrike) => T): readonly T[] {
        return [...this.#strikes.values()].map(select);
    }
}
