import * as z from "zod";

/** Faults that can be injected into the stand-in backend server; `PUT /faults` replaces all of them. */
export const backendFaultsSchema = z.strictObject({
    slowFactor: z.number().positive().default(1).describe("multiplies every work time"),
    silent: z.enum(["no", "openConnections", "all"]).default("no")
        .describe("takes requests and answers nothing; openConnections: only on those open at the switch"),
    loadReport: z.enum(["true", "zero", "lagging"]).default("true"),
    loadLagMs: z.number().nonnegative().default(1_000).describe("age of the load told while `loadReport` is lagging"),
    truncateAnswers: z.number().int().nonnegative().default(0)
        .describe("the next so many answers end one byte short of their length"),
    closeOnRead: z.number().int().nonnegative().default(0)
        .describe("the connections of the next so many requests are closed as they are read, before they run"),
    closeAfterRun: z.number().int().nonnegative().default(0)
        .describe("the next so many requests run, and their connection is closed without an answer"),
    failFast: z.boolean().default(false).describe("answers 500 at once"),
    shed: z.boolean().default(false).describe("sheds every request"),
    turnCold: z.enum(["no", "restarted", "unannounced"]).default("no").describe("happens once, at the switch"),
    leave: z.boolean().default(false).describe("starts leaving; there is no way back"),
});

/** The injected faults. */
export type BackendFaults = z.output<typeof backendFaultsSchema>;
