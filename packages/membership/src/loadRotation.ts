import { type ServerLoad } from "@galenaglade/routing";

/** Server loads to be sent with heartbeats as the traffic budget allows, in round-robin order. */
export class LoadRotation {
    #loads: readonly ServerLoad[] = [];
    #replacedAtMs = 0;
    #next = 0;

    /** Replaces all loads by newer ones. */
    replace(loads: readonly ServerLoad[], nowMs: number): void {
        this.#loads = loads;
        this.#replacedAtMs = nowMs;
    }

    /**
     * @param limit - maximum number of loads
     * @param nowMs - current time of the monotonic clock, in milliseconds
     * @returns the next loads in the rotation, with their current ages in milliseconds
     */
    next(limit: number, nowMs: number): readonly ServerLoad[] {
        const count = Math.min(limit, this.#loads.length);
        const chosen: ServerLoad[] = [];
        for (let i = 0; i < count; i++) {
            const load = this.#loads[this.#next++ % this.#loads.length];
            if (load !== undefined) {
                chosen.push({ ...load, ageMs: Math.ceil(load.ageMs + nowMs - this.#replacedAtMs) });
            }
        }
        return chosen;
    }
}
