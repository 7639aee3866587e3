import * as z from "zod";
import { durationMs } from "../messageFields.js";

/** Path on which a gateway receives other gateways' reports on a rollout. */
export const evidencePath = "/rollout-evidence";

/** Status codes of responses to a report. */
export const evidenceStatus = Object.freeze({
    ok: 200,
    badRequest: 400,
    tooLarge: 413,
    /** The gateway doesn't reach the store, so it can't coordinate. */
    unavailable: 503,
});

const counts = { sends: z.number().int().min(0), bad: z.number().int().min(0) };

/** Report of one gateway on the requests that it sent during a rollout. */
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
    orderAge: z.object({ atLeastMs: durationMs, atMostMs: durationMs.optional() }).optional(),
});

/** The coordinator's response to a report. */
export const evidenceResponse = z.object({
    /** Whether to stop sending requests to the trial version. */
    stop: z.boolean(),
});

/** The coordinator's response to a report. */
export type EvidenceResponse = Readonly<z.output<typeof evidenceResponse>>;
