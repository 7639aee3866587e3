import * as z from "zod";

const loopback = z.string().regex(
    /^http:\/\/127\.\d+\.\d+\.\d+:\d+$/,
    "expected a loopback URL; load is only generated against this machine",
);

const work = z.strictObject({
    medianMs: z.number().positive(),
    sigma: z.number().nonnegative().default(0.5),
});

const callerMix = z.strictObject({
    weight: z.number().positive().default(1),
    service: z.string(),
    authority: z.string(),
    callerKind: z.string().default("default"),
    method: z.string().default("GET"),
    path: z.string().default("/"),
    idempotent: z.boolean().default(true),
    keyed: z.boolean().default(false).describe("sends an Idempotency-Key"),
    patienceMs: z.number().positive(),
    work,
    bodyBytes: z.number().int().nonnegative().default(0),
    answerBytes: z.number().int().nonnegative().default(256),
    /** Overrides the plan's targets, for example to call backend servers directly instead of through gateways. */
    targets: z.array(loopback).nonempty().optional(),
});

const phase = z.strictObject({
    durationMs: z.number().positive().max(600_000),
    requestsPerSecond: z.number().positive().max(20_000),
    /** Multiplies the weight of one service's requests, to simulate a noisy neighbor. */
    surge: z.strictObject({ service: z.string(), factor: z.number().positive() }).optional(),
});

/** Schema of a load plan. */
export const callerPlanSchema = z.strictObject({
    name: z.string(),
    seed: z.number().int(),
    targets: z.array(loopback).nonempty(),
    callerKindHeader: z.string().default("x-caller-kind"),
    mix: z.array(callerMix).nonempty(),
    phases: z.array(phase).nonempty(),
    /** Requests scheduled before this time are sent but not counted. */
    warmUpMs: z.number().nonnegative().default(0),
    /** How long a caller waits for the final response after its patience has expired. */
    listenBeyondMs: z.number().nonnegative().default(250),
    maximumRequests: z.number().int().positive().max(1_000_000).default(200_000),
    maximumOpen: z.number().int().positive().max(20_000).default(5_000),
});

/** A load plan with every default filled in. */
export type CallerPlan = z.output<typeof callerPlanSchema>;
/** A load plan as written; optional fields may be missing. */
export type CallerPlanInput = z.input<typeof callerPlanSchema>;
/** One kind of request in a load plan, with its weight in the mix. */
export type CallerMixEntry = CallerPlan["mix"][number];
