import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Pseudo-random number generator with a seed, so that a run can be repeated. */
export abstract class RandomSource {
    /** @returns a number of at least 0 and less than 1 */
    abstract next(): number;

    /**
     * @param limit - exclusive upper bound
     * @returns an integer of at least 0 and less than `limit`
     */
    nextInt(limit: number): number {
        return Math.floor(this.next() * limit);
    }
}

class SeededRandomSource extends RandomSource {
    readonly #generator;

    constructor(seed: number) {
        super();
        this.#generator = xoroshiro128plus(seed);
    }

    override next(): number {
        return (this.#generator.next() >>> 0) / 0x1_0000_0000;
    }
}

/**
 * @param seed - 32-bit seed
 * @returns a generator that produces the same sequence for the same seed
 */
export function createRandomSource(seed: number): RandomSource {
    return new SeededRandomSource(seed);
}
