/** Flags of node that decide over compiled code; it fits a process that runs with the same ones, as deploy/system.toml has them. */
export const compiledFlags = ["--max-old-space-size=160", "--max-semi-space-size=1", "--liftoff-only"] as const;

/** How long the program runs before its compiled code is kept, in milliseconds: past its first call of the store. */
export const recordMs = 700;

/** Settings with which nothing is reached, and every port is a free one. */
export const recordedSettings = `
name: build
availabilityZone: build
listen: { callers: "127.0.0.1:0", readiness: "127.0.0.1:0", peers: "127.0.0.1:0", metrics: "127.0.0.1:0" }
store: { address: "127.0.0.1:1" }
stopping: { graceSeconds: 1 }
repeats: { ratio: 0, slack: 0, windowSeconds: 1 }
`;
