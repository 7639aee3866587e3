/** Seeds that once found something, each with what is known of the cause; they stay, and run again before each landing. */
export const regressionSeeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 100,
        cause:
            "62 of 79 requests served after the faults had ended, on a fully loaded machine; logs not kept, so not traced. "
            + "It held alone, and its first schedule, which could run past the time of faults, held beside eight bench days",
    },
    {
        seed: 1_000,
        cause:
            "9 of 39 requests served after the faults had ended, at a load of 30 on 8 cores: 312 of 313 failures are noOffer, "
            + "questions for load that got no answer within 35, 70 and 140 ms",
    },
    {
        seed: 119,
        cause:
            "the roll-out has not ended in its time, on some runs: a gateway that was cut off from the store when the order came "
            + "counts its time from when it heard of it, and widens and ends it as late",
    },
    {
        seed: 502,
        cause:
            "401 for two requests whose key is there, on some runs: they waited while a version moved it to another workspace; as "
            + "packages/edge/src/__tests__/keyChanges.test.ts",
    },
    { seed: 504, cause: "as seed 502" },
    { seed: 1_001, cause: "3 of 27 requests served after the faults had ended; as seed 1000" },
];
