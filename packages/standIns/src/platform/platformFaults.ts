import * as z from "zod";

/** Faults that can be injected into the stand-in platform; `PUT /faults` replaces all of them. */
export const platformFaultsSchema = z.strictObject({
    down: z.enum(["no", "refusing", "silent"]).default("no")
        .describe("refusing answers 503 without effect, silent answers nothing and has no effect"),
    slowMs: z.number().nonnegative().default(0).describe("added before every call takes effect"),
    loseAnswers: z.number().int().nonnegative().default(0)
        .describe("the next so many writes take effect, and their connection is closed without an answer"),
    staleReads: z.boolean().default(false)
        .describe("reads and watches see the store as it was when this was switched on"),
    cuts: z.array(z.strictObject({
        client: z.string(),
        direction: z.enum(["toStore", "fromStore"])
            .describe("toStore: calls never arrive; fromStore: they take effect, and no answer arrives"),
    })).default([]),
});

/** The injected faults. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>;
