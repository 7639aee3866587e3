import * as z from "zod";

/** Path on which a gateway takes what others have seen of a roll-out. */
export const evidencePath = "/rollout-evidence";

/** Statuses of answers to a report. */
export const evidenceStatus = Object.freeze({
    ok: 200,
    badRequest: 400,
    tooLarge: 413,
    /** The gateway doesn't reach the store, so it can't coordinate. */
    unavailable: 503,
});

const ms = z.number().min(0);
const counts = { sends: z.number().int().min(0), bad: z.number().int().min(0) };

/** What one gateway has seen of a roll-out. */
export const evidenceReport = z.object({
    gateway: z.string().min(1),
    life: z.string().min(1),
    service: z.string().min(1),
    version: z.string().min(1),
    settled: z.boolean(),
    routes: z.array(z.object({
        route: z.string(),
        stable: z.object(counts),
        trial: z.array(z.object({ server: z.string().min(1), ...counts })),
    })),
    orderAge: z.object({ atLeastMs: ms, atMostMs: ms.optional() }).optional(),
});

/** What the coordinator answers. */
export const evidenceResponse = z.object({
    /** Whether the version is to get nothing more. */
    stop: z.boolean(),
});

export type EvidenceResponse = Readonly<z.output<typeof evidenceResponse>>;
