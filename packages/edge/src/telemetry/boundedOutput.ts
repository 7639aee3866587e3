import { type Writable } from "node:stream";

/**
 * Writes lines without ever waiting for their reader. A reader that falls behind would otherwise hold the process up,
 * and with it every request; so beyond a limit lines are left out, and how many is written once there is room.
 */
export class BoundedOutput {
    readonly #stream: Writable;
    readonly #limitBytes: number;
    #omitted = 0;

    constructor(stream: Writable, limitBytes: number) {
        this.#stream = stream;
        this.#limitBytes = limitBytes;
    }

    /** @param line - ends with a line feed */
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
}
