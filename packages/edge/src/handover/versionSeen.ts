/** The newest version of the configuration by which a request of this gateway's callers was handled, here or elsewhere. */
export class VersionSeen {
    #version = 0;

    onSeen(version: number): void {
        this.#version = Math.max(this.#version, version);
    }

    /** @returns it, or a newer one that is in force here */
    atLeast(inForce: number): number {
        return Math.max(this.#version, inForce);
    }
}
