/** Flags of node that decide over compiled code; it fits a process that runs with the same ones, as deploy/system.toml has them. */
export const codeCacheFlags = ["--max-old-space-size=160", "--max-semi-space-size=1", "--liftoff-only"] as const;

/** Set at build time alone: the program writes its compiled code and ends when it gets the signal. */
export const codeCacheVariable = "GALENAGLADE_RECORD";
export const codeCacheSignal = "SIGUSR2";

/** Callers that the program answers before its compiled code is kept, and how long that may take, in milliseconds. */
export const codeCacheCallers = 24;
export const codeCacheTimeoutMs = 10_000;
