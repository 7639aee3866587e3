/** The newest version of the configuration by which a request of this gateway's callers was handled, here or elsewhere. */
export class ConfigVersionWatermark {
    #version = 0;

    advance(version: number): void {
        this.#version = Math.max(this.#version, version);
    }

    /** @returns it, or a newer one that is in force here */
    max(inForce: number): number {
        return Math.max(this.#version, inForce);
    }
}
