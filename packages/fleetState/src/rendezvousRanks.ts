import murmurHash from "imurmurhash";

/**
 * A name with its hash. It is computed once, because hashing hundreds of gateway names for each of hundreds of
 * subjects takes too long on a starting host.
 */
interface HashedName {
    readonly name: string;
    readonly hash: number;
}

/**
 * The rank of this gateway for each of many subjects, by rendezvous hashing. Updated incrementally when the roster
 * changes; recomputing would cost one hash per pair of gateway and subject.
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
     * Sets the current roster.
     *
     * @param names - names of all member gateways; the same array while the membership is the same
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

    /** @returns how many gateways rank before this one for a subject */
    rankOf(subject: string): number {
        const cached = this.#ranks.get(subject);
        if (cached !== undefined) {
            return cached;
        }
        const subjectHash = hashText(subject);
        let rank = 0;
        for (const other of this.#hashed.values()) {
            rank += this.#isBefore(other, subjectHash) ? 1 : 0;
        }
        this.#ranks.set(subject, rank);
        return rank;
    }

    /** Drops all subjects but the given ones. */
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

/** Combines two hashes with the 32-bit finalizer of MurmurHash3. */
function mix(a: number, b: number): number {
    let hash = (a + Math.imul(b, 0x9e37_79b1)) | 0;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
