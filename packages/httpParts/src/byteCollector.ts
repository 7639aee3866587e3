/** Chunks of at least this size are kept as they are, in bytes. */
const minKeptBytes = 1_024;

/** Sizes of the blocks that smaller chunks are copied into, in bytes: each block is larger than the one before. */
const firstBlockBytes = 1_024;
const maxBlockBytes = 16_384;

/** What a buffer costs besides its bytes: the objects that describe it, in bytes. */
const bufferCostBytes = 256;

/**
 * Collects the chunks of a body. A chunk of a few bytes costs much more than these, so small chunks are copied together
 * into blocks.
 */
export class ByteCollector {
    readonly #parts: Buffer[] = [];
    #block = Buffer.alloc(0);
    #blockUsed = 0;
    #byteLength = 0;
    #costBytes = 0;

    /** Number of bytes that were added. */
    get byteLength(): number {
        return this.#byteLength;
    }

    /** Memory that they take, in bytes. */
    get costBytes(): number {
        return this.#costBytes;
    }

    add(chunk: Buffer): void {
        this.#byteLength += chunk.length;
        if (chunk.length >= minKeptBytes) {
            this.#endBlock();
            this.#keep(chunk);
            return;
        }
        let rest = chunk;
        while (rest.length > 0) {
            if (this.#blockUsed === this.#block.length) {
                this.#beginBlock();
            }
            const copied = rest.copy(this.#block, this.#blockUsed);
            this.#blockUsed += copied;
            rest = rest.subarray(copied);
        }
    }

    /** @returns all bytes in one buffer */
    concat(): Buffer {
        this.#endBlock();
        const [only] = this.#parts;
        return this.#parts.length === 1 && only !== undefined ? only : Buffer.concat(this.#parts, this.#byteLength);
    }

    clear(): void {
        this.#parts.length = 0;
        this.#block = Buffer.alloc(0);
        this.#blockUsed = 0;
        this.#byteLength = 0;
        this.#costBytes = 0;
    }

    #keep(part: Buffer): void {
        this.#parts.push(part);
        this.#costBytes += part.length + bufferCostBytes;
    }

    #beginBlock(): void {
        const bytes = Math.min(maxBlockBytes, Math.max(firstBlockBytes, 2 * this.#block.length));
        this.#endBlock();
        this.#block = Buffer.allocUnsafeSlow(bytes);
        this.#costBytes += bytes + bufferCostBytes;
    }

    #endBlock(): void {
        if (this.#blockUsed > 0) {
            this.#parts.push(this.#block.subarray(0, this.#blockUsed));
        }
        // What is left of the block is counted until the collector is cleared.
        this.#block = this.#block.subarray(this.#block.length);
        this.#blockUsed = 0;
    }
}
