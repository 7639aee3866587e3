/**
 * Node flags that affect compiled code. A code cache is valid only for processes with the same flags, which
 * deploy/system.toml sets.
 */
export const codeCacheFlags = ["--max-old-space-size=160", "--max-semi-space-size=1", "--liftoff-only"] as const;

/** If this variable is set, as at build time only, the program writes its code cache and exits on this signal. */
export const codeCacheVariable = "GALENAGLADE_RECORD";
export const codeCacheSignal = "SIGUSR2";

/** Number of requests that the program serves before it writes its code cache, and the time limit for them. */
export const codeCacheCallers = 24;
export const codeCacheTimeoutMs = 10_000;
