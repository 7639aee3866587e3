import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of random numbers, so that a run can be repeated. */
export abstract class RandomSource {
    /** @returns a number of at least 0 and less than 1 */
    abstract next(): number;

    /**
     * @param limit - one more than the largest result
     * @returns a whole number of at least 0 and less than `limit`
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
 * @returns a source that gives the same numbers for the same seed
 */
export function createRandomSource(seed: number): RandomSource {
    return new SeededRandomSource(seed);
}
