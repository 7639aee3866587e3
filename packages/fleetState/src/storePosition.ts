/**
 * Positions in a store that may be restored from an older backup. Its revisions then go back and are used again, so a
 * revision alone does not order two states. A position is prefixed with the term of the store, which increases with
 * each restore: positions compare as numbers, and a state of a later term is always later.
 */

/** Number of revisions in one term; together with the largest term, positions stay exact as numbers. */
const revisionsPerTerm = 2 ** 40;
const maxTerms = 2 ** 12;

/**
 * @param term - number of restores from an older backup, as reported by the store; 0 if it does not report one
 * @param revision - revision of the store in that term
 * @returns the position, or `undefined` if the term or revision is out of range
 */
export function toPosition(term: number, revision: number): number | undefined {
    const isTerm = Number.isInteger(term) && term >= 0 && term < maxTerms;
    const isRevision = Number.isInteger(revision) && revision >= 0 && revision < revisionsPerTerm;
    return isTerm && isRevision ? term * revisionsPerTerm + revision : undefined;
}

/** @returns the term part of a position */
export function termOf(position: number): number {
    return Math.floor(position / revisionsPerTerm);
}

/** @returns the store's revision within the term of the position */
export function revisionOf(position: number): number {
    return position % revisionsPerTerm;
}

/** Tracks the term of the store from its answers. */
export class StoreTerm {
    #latest = 0;

    /** The latest known term; 0 before the first answer. */
    get latest(): number {
        return this.#latest;
    }

    /**
     * Handles an answer from the store.
     *
     * @param reportedTerm - the term in the answer; `undefined` if it is missing or malformed
     * @returns the term of the answer; if it is below {@link latest}, the answer was given before a restore of the
     * store and arrived late
     */
    onAnswer(reportedTerm: number | undefined): number {
        if (
            reportedTerm === undefined || !Number.isInteger(reportedTerm) || reportedTerm < 0
            || reportedTerm >= maxTerms
        ) {
            return this.#latest;
        }
        this.#latest = Math.max(this.#latest, reportedTerm);
        return reportedTerm;
    }
}
