import { maxStartupHoldMs, maxHeldAtStartup, startupHoldPatienceShare } from "./constants.js";

/** What decides over a request that arrives before the process knows the fleet. */
export interface StartupAdmissionInput {
    /** Whether the first reading of the store has failed, so that nobody knows when it will succeed. */
    readonly readFailed: boolean;
    /** Requests that are held already. */
    readonly held: number;
    /** Since the process began to read. */
    readonly sinceStartMs: number;
    /** How long the caller waits; `undefined` where it doesn't say. */
    readonly patienceMs: number | undefined;
}

/** Hold the request until the fleet is known, for a time at most, or refuse it at once. */
export type StartupAdmission =
    | { readonly type: "hold"; readonly forMs: number; }
    | { readonly type: "refuse"; };

const refuse: StartupAdmission = Object.freeze({ type: "refuse" });

/**
 * Decides over a request that arrives while a process reads the store for the first time. When a whole fleet comes back
 * from a power cut, every host is in that state at once: a refused caller comes back to another host that can't serve it
 * either, and has used up its tries when the first of them can. So it is held for the reading that is under way, and refused
 * as soon as that fails or takes too long.
 *
 * @param input - what decides
 */
export function admitDuringStartup(
    { readFailed, held, sinceStartMs, patienceMs }: StartupAdmissionInput,
): StartupAdmission {
    const forMs = Math.min(maxStartupHoldMs - sinceStartMs, (patienceMs ?? Infinity) * startupHoldPatienceShare);
    return readFailed || held >= maxHeldAtStartup || forMs <= 0 ? refuse : { type: "hold", forMs };
}
