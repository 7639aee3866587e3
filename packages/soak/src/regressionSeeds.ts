/** Seeds that found violations before, each with the known cause. They are kept and run again before each release. */
export const regressionSeeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 100,
        cause:
            "only 62 of 79 requests succeeded after the last fault, on a fully loaded machine; cause unknown: no logs. "
            + "Passes alone; its former schedule, which could exceed the fault phase, passes beside eight bench days",
    },
    {
        seed: 1_000,
        cause: "only 9 of 39 requests succeeded after the last fault, at a load of 30 on 8 cores: "
            + "312 of 313 failures are noOffer, caused by load probes that timed out after 35, 70 and 140 ms",
    },
    {
        seed: 119,
        cause: "in some runs, the roll-out does not end in time: a gateway disconnected from the store at the order "
            + "counts the time limit from when it receives the order, so that it widens and ends the roll-out late",
    },
    {
        seed: 502,
        cause:
            "in some runs, two requests with a valid key get 401: they wait while a version moves the key to another "
            + "workspace; see packages/edge/src/__tests__/keyChanges.test.ts",
    },
    { seed: 504, cause: "same as seed 502" },
    { seed: 1_001, cause: "only 3 of 27 requests succeeded after the last fault; same as seed 1000" },
];
