import { createHash } from "node:crypto";
import * as z from "zod";

/** Headers between gateways and backend servers. */
export const backendHeaders = Object.freeze({
    requestId: "x-request-id",
    idempotencyKey: "idempotency-key",
    deadlineMs: "x-deadline-ms",
    workMs: "x-work-ms",
    answerBytes: "x-answer-bytes",
    bodyDigest: "x-body-sha256",
    state: "x-backend-state",
    inFlight: "x-backend-in-flight",
    incarnation: "x-backend-incarnation",
    bears: "x-backend-bears",
    didRun: "x-galenaglade-did-run",
});

/** What a stand-in backend server answers a request that ran. */
export const backendResponseSchema = z.object({
    requestId: z.string(),
    server: z.string(),
    incarnation: z.string(),
    /** Digest of the request's body as it arrived, so that a caller sees if it was cut short. */
    requestDigest: z.string(),
    padding: z.string(),
});

/** An answer's body. */
export type BackendResponse = z.output<typeof backendResponseSchema>;

/** @returns SHA-256 in hexadecimal */
export function computeDigest(body: Buffer | string): string {
    return createHash("sha256").update(body).digest("hex");
}
