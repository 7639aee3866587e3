import { type Writable } from "node:stream";

/**
 * Writes lines to a stream without waiting for its reader. A slow reader would otherwise block the process and every
 * request in it. Lines beyond the buffer limit are dropped, and their number is written once there is room.
 */
export class BoundedOutput {
    readonly #stream: Writable;
    readonly #limitBytes: number;
    #omitted = 0;

    constructor(stream: Writable, limitBytes: number) {
        this.#stream = stream;
        this.#limitBytes = limitBytes;
    }

    /** @param line - text that ends with a line feed */
    write(line: string): void {
        if (this.#stream.writableLength > this.#limitBytes) {
            this.#omitted++;
            return;
        }
        if (this.#omitted > 0) {
            this.#stream.write(
                `${JSON.stringify({ level: "warn", message: "log lines left out", lines: this.#omitted })}\n`,
            );
            this.#omitted = 0;
        }
        this.#stream.write(line);
    }

    /** @returns a promise that resolves once all lines were written; never while the reader stands still */
    flush(): Promise<void> {
        return new Promise(resolve => {
            this.#stream.write("", () => resolve());
        });
    }
}
