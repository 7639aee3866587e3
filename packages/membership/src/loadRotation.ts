import { type ServerLoad } from "@galenaglade/routing";

/** The loads that heartbeats carry as their budget allows, in turns, so that each goes out now and then. */
export class LoadRotation {
    #loads: readonly ServerLoad[] = [];
    #atMs = 0;
    #next = 0;

    /** Puts newer loads in place of all. */
    replace(loads: readonly ServerLoad[], nowMs: number): void {
        this.#loads = loads;
        this.#atMs = nowMs;
    }

    /**
     * @param limit - most loads to take
     * @param nowMs - the present time
     * @returns the next in turn, with their ages as of now
     */
    take(limit: number, nowMs: number): readonly ServerLoad[] {
        const count = Math.min(limit, this.#loads.length);
        const chosen: ServerLoad[] = [];
        for (let i = 0; i < count; i++) {
            const load = this.#loads[this.#next++ % this.#loads.length];
            if (load !== undefined) {
                chosen.push({ ...load, ageMs: Math.ceil(load.ageMs + nowMs - this.#atMs) });
            }
        }
        return chosen;
    }
}
