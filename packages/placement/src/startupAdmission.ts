import { maxStartupHoldMs, maxHeldAtStartup, startupHoldPatienceShare } from "./constants.js";

/** Input to the decision about a request that arrives before the process knows the fleet. */
export interface StartupAdmissionInput {
    /** Whether the first read of the store has failed, so that it is unknown when one will succeed. */
    readonly readFailed: boolean;
    /** Number of requests held already. */
    readonly held: number;
    /** Time since the process began the first read. */
    readonly sinceStartMs: number;
    /** Timeout of the caller; `undefined` if it doesn't send one. */
    readonly patienceMs: number | undefined;
}

/** Whether to hold the request until the fleet is known, for a limited time, or to reject it at once. */
export type StartupAdmission =
    | { readonly type: "hold"; readonly forMs: number; }
    | { readonly type: "refuse"; };

const refuse: StartupAdmission = Object.freeze({ type: "refuse" });

/**
 * Decides about a request that arrives while the process reads the store for the first time. When a whole fleet
 * restarts after a power failure, all hosts are in this state at once. A rejected caller would retry at another host
 * that can't serve it either, and would have used up its retries before the first host is ready. The request is
 * therefore held during the first read, and rejected as soon as that fails or takes too long.
 *
 * @param input - state of the first read, and the caller's timeout
 * @returns whether to hold the request, and for how long
 */
export function admitDuringStartup(
    { readFailed, held, sinceStartMs, patienceMs }: StartupAdmissionInput,
): StartupAdmission {
    const forMs = Math.min(maxStartupHoldMs - sinceStartMs, (patienceMs ?? Infinity) * startupHoldPatienceShare);
    return readFailed || held >= maxHeldAtStartup || forMs <= 0 ? refuse : { type: "hold", forMs };
}
