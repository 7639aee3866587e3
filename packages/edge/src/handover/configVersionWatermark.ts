/** Newest configuration version by which a request of this gateway's callers was handled, here or elsewhere. */
export class ConfigVersionWatermark {
    #version = 0;

    advance(version: number): void {
        this.#version = Math.max(this.#version, version);
    }

    /** @returns that version, or the one in force here if it is newer */
    max(inForce: number): number {
        return Math.max(this.#version, inForce);
    }
}
