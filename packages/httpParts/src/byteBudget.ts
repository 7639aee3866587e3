/** Limits the memory that several users hold together. */
export class ByteBudget {
    readonly #maxBytes: number;
    #heldBytes = 0;

    /** @param maxBytes - maximum number of bytes that are held at a time */
    constructor(maxBytes: number) {
        this.#maxBytes = maxBytes;
    }

    /** Number of bytes that are held. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** @returns whether the budget had that many bytes left; if so, they are held until they are given back */
    tryTake(bytes: number): boolean {
        if (this.#heldBytes + bytes > this.#maxBytes) {
            return false;
        }
        this.#heldBytes += bytes;
        return true;
    }

    giveBack(bytes: number): void {
        this.#heldBytes -= bytes;
    }
}
