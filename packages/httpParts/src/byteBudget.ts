/** Something that users take memory from and give it back to, in bytes. */
export abstract class ByteAccount {
    /** @returns whether that many bytes were left; if so, they are held until they are given back */
    abstract tryTake(bytes: number): boolean;

    abstract giveBack(bytes: number): void;
}

/** Limits the memory that several users hold together. */
export class ByteBudget extends ByteAccount {
    readonly #maxBytes: number;
    #heldBytes = 0;

    /** @param maxBytes - maximum number of bytes that are held at a time */
    constructor(maxBytes: number) {
        super();
        this.#maxBytes = maxBytes;
    }

    /** Number of bytes that are held. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    override tryTake(bytes: number): boolean {
        if (this.#heldBytes + bytes > this.#maxBytes) {
            return false;
        }
        this.#heldBytes += bytes;
        return true;
    }

    override giveBack(bytes: number): void {
        this.#heldBytes -= bytes;
    }
}
