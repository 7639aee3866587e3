import { rendezvousWeight } from "./rendezvous.js";

/**
 * This gateway's place among others for each of many subjects, by rendezvous hashing. Kept up to date by what a roster's
 * change adds and removes: counted anew, each change would cost a hash for every pair of a gateway and a subject.
 */
export class RendezvousRanks {
    readonly #self: string;
    readonly #ranks = new Map<string, number>();
    #names: readonly string[] = [];

    /** @param self - name of this gateway */
    constructor(self: string) {
        this.#self = self;
    }

    /**
     * The roster as it is from now on.
     *
     * @param names - of all gateways that count; the same array while they are the same
     */
    update(names: readonly string[]): void {
        if (names === this.#names) {
            return;
        }
        const before = new Set(this.#names);
        const after = new Set(names);
        for (const name of after) {
            if (!before.has(name)) {
                this.#shift(name, 1);
            }
        }
        for (const name of before) {
            if (!after.has(name)) {
                this.#shift(name, -1);
            }
        }
        this.#names = names;
    }

    /** @returns how many gateways come before this one for a subject */
    rankOf(subject: string): number {
        const known = this.#ranks.get(subject);
        if (known !== undefined) {
            return known;
        }
        const rank = this.#names.filter(name => this.#isBefore(name, subject)).length;
        this.#ranks.set(subject, rank);
        return rank;
    }

    /** Forgets subjects that are no longer there. */
    retain(subjects: ReadonlySet<string>): void {
        for (const subject of this.#ranks.keys()) {
            if (!subjects.has(subject)) {
                this.#ranks.delete(subject);
            }
        }
    }

    #shift(name: string, by: number): void {
        for (const [subject, rank] of this.#ranks) {
            if (this.#isBefore(name, subject)) {
                this.#ranks.set(subject, rank + by);
            }
        }
    }

    #isBefore(name: string, subject: string): boolean {
        if (name === this.#self) {
            return false;
        }
        const own = rendezvousWeight(this.#self, subject);
        const other = rendezvousWeight(name, subject);
        return other > own || (other === own && name < this.#self);
    }
}
