import murmurHash from "imurmurhash";

/** A name's hash, computed once: hundreds of gateways times hundreds of subjects are too many strings for a host that starts. */
interface HashedName {
    readonly name: string;
    readonly hash: number;
}

/**
 * This gateway's place among others for each of many subjects, by rendezvous hashing. Kept up to date by what a roster's
 * change adds and removes: counted anew, each change would cost a hash for every pair of a gateway and a subject.
 */
export class RendezvousRanks {
    readonly #self: HashedName;
    readonly #ranks = new Map<string, number>();
    #names: readonly string[] = [];
    #hashed = new Map<string, HashedName>();

    /** @param self - name of this gateway */
    constructor(self: string) {
        this.#self = hashName(self);
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
        const before = this.#hashed;
        this.#hashed = new Map(names.map(name => [name, before.get(name) ?? hashName(name)]));
        for (const [name, hashed] of this.#hashed) {
            if (!before.has(name)) {
                this.#shift(hashed, 1);
            }
        }
        for (const [name, hashed] of before) {
            if (!this.#hashed.has(name)) {
                this.#shift(hashed, -1);
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
        const subjectHash = hashText(subject);
        let rank = 0;
        for (const other of this.#hashed.values()) {
            rank += this.#isBefore(other, subjectHash) ? 1 : 0;
        }
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

    #shift(other: HashedName, by: number): void {
        for (const [subject, rank] of this.#ranks) {
            if (this.#isBefore(other, hashText(subject))) {
                this.#ranks.set(subject, rank + by);
            }
        }
    }

    #isBefore(other: HashedName, subjectHash: number): boolean {
        if (other.name === this.#self.name) {
            return false;
        }
        const ownWeight = mix(this.#self.hash, subjectHash);
        const weight = mix(other.hash, subjectHash);
        return weight > ownWeight || (weight === ownWeight && other.name < this.#self.name);
    }
}

function hashName(name: string): HashedName {
    return { name, hash: hashText(name) };
}

function hashText(text: string): number {
    return murmurHash(text).result();
}

/** Spreads two hashes over all 32 bits: the last steps of MurmurHash3. */
function mix(a: number, b: number): number {
    let hash = (a + Math.imul(b, 0x9e37_79b1)) | 0;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
