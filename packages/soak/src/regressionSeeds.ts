/** Seeds that once found something, each with its cause; they stay, and run again before each landing. */
export const regressionSeeds: readonly { readonly seed: number; readonly cause: string; }[] = [
    {
        seed: 100,
        cause:
            "62 of 79 requests were served after the faults had ended, beside three more runs and a fully loaded machine; "
            + "alone on the machine it held",
    },
];
