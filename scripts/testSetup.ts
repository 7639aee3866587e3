/**
 * Loaded before each test file. Property-based tests use a fixed seed, so that a change always gets the same result;
 * `FAST_CHECK_SEED=N npm test` uses another one. A seed that reveals a fault is added to the test as an example.
 */
import fc from "fast-check";

const fixedSeed = 20_261_203;

fc.configureGlobal({ seed: Number(process.env["FAST_CHECK_SEED"] ?? fixedSeed) });
