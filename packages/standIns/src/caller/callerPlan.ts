import * as z from "zod";

const loopback = z.string().regex(/^http:\/\/127\.\d+\.\d+\.\d+:\d+$/, "a loopback URL; callers go nowhere else");

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
    /** Sends to these in place of the plan's targets, as a direct call past the gateways does. */
    targets: z.array(loopback).nonempty().optional(),
});

const phase = z.strictObject({
    durationMs: z.number().positive().max(600_000),
    requestsPerSecond: z.number().positive().max(20_000),
    /** Multiplies the weight of the mixes of one service, as a noisy neighbour does. */
    surge: z.strictObject({ service: z.string(), factor: z.number().positive() }).optional(),
});

/** What a stand-in caller does. */
export const callerPlanSchema = z.strictObject({
    name: z.string(),
    seed: z.number().int(),
    targets: z.array(loopback).nonempty(),
    callerKindHeader: z.string().default("x-caller-kind"),
    mix: z.array(callerMix).nonempty(),
    phases: z.array(phase).nonempty(),
    /** Requests that arrive before this time are sent, but not counted. */
    warmUpMs: z.number().nonnegative().default(0),
    /** How long past its patience a caller still listens for the final answer. */
    listenBeyondMs: z.number().nonnegative().default(250),
    maximumRequests: z.number().int().positive().max(1_000_000).default(200_000),
    maximumOpen: z.number().int().positive().max(20_000).default(5_000),
});

/** What a stand-in caller does, with every default filled in. */
export type CallerPlan = z.output<typeof callerPlanSchema>;
/** What a stand-in caller does, as written. */
export type CallerPlanInput = z.input<typeof callerPlanSchema>;
/** One kind of request in a plan. */
export type CallerMixEntry = CallerPlan["mix"][number];
