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

/** Schema of the body of a successful response of a stand-in backend server. */
export const backendResponseSchema = z.object({
    requestId: z.string(),
    server: z.string(),
    incarnation: z.string(),
    /** Digest of the request body as received, so that the caller can detect a truncated request. */
    requestDigest: z.string(),
    padding: z.string(),
});

/** Body of a successful response. */
export type BackendResponse = z.output<typeof backendResponseSchema>;

/** @returns the SHA-256 digest in hexadecimal */
export function computeDigest(body: Buffer | string): string {
    return createHash("sha256").update(body).digest("hex");
}
