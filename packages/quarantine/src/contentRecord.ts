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
    add(learnt: KnownStrike): void {
        const known = this.#strikes.get(learnt.strike.incarnation);
        if (known === undefined || known.strike.generation > learnt.strike.generation) {
            this.#strikes.set(learnt.strike.incarnation, learnt);
        }
    }

    /** Number of server incarnations that crashed. */
    get strikes(): number {
        return this.#strikes.size;
    }

    /** Highest generation of the strikes. */
    get generations(): number {
        return Math.max(0, ...this.#each(({ strike }) => strike.generation));
    }

    /** When the record expires unless another strike is added. */
    get expiresAtEpochMs(): number {
        return this.#lastAtEpochMs + (this.isQuarantined ? quarantineRetentionMs : suspicionRetentionMs);
    }

    /**
     * @param trialAfterMs - delays from the latest strike to each trial, in milliseconds
     * @returns when the next trial is due; `Infinity` if all trials have been made
     */
    nextTrialAtEpochMs(trialAfterMs: readonly number[]): number {
        const trials = this.#each(({ strike }) => strike.trial).filter(Boolean).length;
        return this.#lastAtEpochMs + (trialAfterMs[trials] ?? Infinity);
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
    generationAt(mark: number): number {
        return 1 + Math.max(0, ...this.#knownAt(mark).map(({ strike }) => strike.generation));
    }

    /** @returns the incarnations whose crashes were known at a ledger version */
    incarnationsAt(mark: number): readonly string[] {
        return this.#knownAt(mark).map(({ strike }) => strike.incarnation);
    }

    get #lastAtEpochMs(): number {
        return Math.max(0, ...this.#each(({ strike }) => strike.atEpochMs));
    }

    #knownAt(mark: number): readonly KnownStrike[] {
        return [...this.#strikes.values()].filter(({ knownSinceVersion }) => knownSinceVersion <= mark);
    }

    #each<T>(read: (learnt: KnownStrike) => T): readonly T[] {
        return [...this.#strikes.values()].map(read);
    }
}
