/**
 * Positions in a store that may come back from an older copy. Its revisions go back then and are given out again, so that a revision alone
 * says nothing of the order of two states. A position has the store's term in front, which rises with each return: positions compare as
 * numbers, and a state of a later term is always the later one.
 */

/** Revisions that one term can hold; with the largest term they stay exact as numbers. */
const revisionsPerTerm = 2 ** 40;
const mostTerms = 2 ** 12;

/**
 * @param term - how often the store came back from an older copy, as it says; 0 where it doesn't
 * @param revision - of the store in that term
 * @returns the position, or `undefined` where one of the two can't be one
 */
export function toPosition(term: number, revision: number): number | undefined {
    const isTerm = Number.isInteger(term) && term >= 0 && term < mostTerms;
    const isRevision = Number.isInteger(revision) && revision >= 0 && revision < revisionsPerTerm;
    return isTerm && isRevision ? term * revisionsPerTerm + revision : undefined;
}

/** @returns the term of a position */
export function termOf(position: number): number {
    return Math.floor(position / revisionsPerTerm);
}

/** @returns the store's revision in the position's term */
export function revisionOf(position: number): number {
    return position % revisionsPerTerm;
}

/** The store's term, as its answers tell it. */
export class StoreTerm {
    #latest = 0;

    /** The latest that was told; 0 before. */
    get latest(): number {
        return this.#latest;
    }

    /**
     * An answer came.
     *
     * @param told - what it says of its term; `undefined` where that is missing or can't be read
     * @returns the term of the answer: one below {@link latest} was given before the store's return, and arrived late
     */
    onAnswer(told: number | undefined): number {
        if (told === undefined || !Number.isInteger(told) || told < 0 || told >= mostTerms) {
            return this.#latest;
        }
        this.#latest = Math.max(this.#latest, told);
        return told;
    }
}
