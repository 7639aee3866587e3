import { type CrashStrike } from "@galenaglade/fleet-state";
import {
    quarantineGenerationThreshold,
    quarantineRetentionMs,
    quarantineStrikeThreshold,
    suspicionRetentionMs,
} from "./constants.js";

/** A strike, and since when this gateway has known it. */
export interface KnownStrike {
    readonly strike: CrashStrike;
    readonly knownSinceVersion: number;
}

/** Everything that counts against one content: the server starts that ended under it, each once. */
export class ContentRecord {
    readonly #strikes = new Map<string, KnownStrike>();

    /** Several gateways may have had the content on one server when it ended; the lowest generation condemns least. */
    add(learnt: KnownStrike): void {
        const known = this.#strikes.get(learnt.strike.incarnation);
        if (known === undefined || known.strike.generation > learnt.strike.generation) {
            this.#strikes.set(learnt.strike.incarnation, learnt);
        }
    }

    /** Servers that ended. */
    get strikes(): number {
        return this.#strikes.size;
    }

    get generations(): number {
        return Math.max(0, ...this.#each(({ strike }) => strike.generation));
    }

    /** When it is forgotten unless another server ends. */
    get expiresAtEpochMs(): number {
        return this.#lastAtEpochMs + (this.isQuarantined ? quarantineRetentionMs : suspicionRetentionMs);
    }

    /**
     * @param trialAfterMs - how long after the latest strike each trial comes
     * @returns when it may be tried again; `Infinity` where it was tried too often
     */
    nextTrialAtEpochMs(trialAfterMs: readonly number[]): number {
        const trials = this.#each(({ strike }) => strike.trial).filter(Boolean).length;
        return this.#lastAtEpochMs + (trialAfterMs[trials] ?? Infinity);
    }

    get isQuarantined(): boolean {
        return this.strikes >= quarantineStrikeThreshold && this.generations >= quarantineGenerationThreshold;
    }

    /** @returns since when a server's end is known, as a mark; `undefined` where it is not */
    knownSinceVersion(incarnation: string): number | undefined {
        return this.#strikes.get(incarnation)?.knownSinceVersion;
    }

    /** @returns the generation that a send begun at a mark belongs to */
    generationAt(mark: number): number {
        return 1 + Math.max(0, ...this.#knownAt(mark).map(({ strike }) => strike.generation));
    }

    /** @returns the server starts whose end was known at a mark */
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
