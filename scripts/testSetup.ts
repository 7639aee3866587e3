/**
 * Loaded before every test file. Seeded runs begin at one fixed seed, so that a change gets the same verdict each time;
 * `FAST_CHECK_SEED=N npm test` looks elsewhere, and a seed that shows a fault stays in the test as an example.
 */
import fc from "fast-check";

const fixedSeed = 20_261_203;

fc.configureGlobal({ seed: Number(process.env["FAST_CHECK_SEED"] ?? fixedSeed) });
