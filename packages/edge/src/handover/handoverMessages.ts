import { type DeepReadonly } from "@galenaglade/configuration";
import { errorKinds } from "@galenaglade/errors";
import { parseJson } from "@galenaglade/http-parts";
import * as z from "zod";

/** Path on which a gateway takes requests of another one, under the request's own method. */
export const handoverPath = "/handover";

/** Header of such a request, and of its answer; what is in it is JSON in ASCII. Never passed on to servers or callers. */
export const handoverHeader = "galenaglade-handover";

/** What the gateway that hands a request over says of it. */
export const handoverMetadataSchema = z.object({
    /** Name of that gateway, as in its registration. */
    from: z.string(),
    /** Path and query as its caller sent them. */
    target: z.string(),
    /** To which it was drawn among its route's destinations. */
    service: z.string(),
    /** Version of the configuration that the request may not be handled before. */
    version: z.number(),
    /** Since its arrival, in milliseconds. */
    ageMs: z.number().min(0),
    /** Until its final answer is due, in milliseconds. */
    remainingMs: z.number(),
    /** Servers on which it may still run. */
    runs: z.number().int().min(1),
    /** Address of its caller. */
    caller: z.string(),
});

/** What the gateway that hands a request over says of it. */
export type HandoverMetadata = DeepReadonly<z.output<typeof handoverMetadataSchema>>;

/** Why a gateway takes no request of another one; it has done nothing with it then. */
export const handoverRefusalReasons = [
    "malformed",
    "notRegistered",
    "busy",
    "stopping",
    "behind",
    "noRoute",
    "unreached",
] as const;

/** What the gateway that a request was handed to says with its answer. */
export const handoverOutcomeSchema = z.discriminatedUnion("type", [
    /** The answer is a server's. */
    z.object({ type: z.literal("answered"), version: z.number(), server: z.string().optional() }),
    z.object({
        type: z.literal("refused"),
        reason: z.enum(handoverRefusalReasons),
        /** Gateways that reach the service, as far as is known. */
        named: z.array(z.string().max(256)).max(16),
    }),
    /** No server's answer came of it. */
    z.object({
        type: z.literal("failed"),
        kind: z.enum(errorKinds),
        detail: z.string(),
        /** Whether it is sure that the request has not run. */
        notRun: z.boolean(),
        retryAfterSeconds: z.number().optional(),
        /** Whether that gateway doesn't reach the service any more either. */
        unreached: z.boolean(),
    }),
]);

/** What the gateway that a request was handed to says with its answer. */
export type HandoverOutcome = DeepReadonly<z.output<typeof handoverOutcomeSchema>>;

/** @returns the value of the header */
export function renderHandoverHeader(value: HandoverMetadata | HandoverOutcome): string {
    return JSON.stringify(value).replace(
        /[^\x20-\x7e]/g,
        char => `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}

/** @returns what the header of a request says; `undefined` where it can't be read */
export function parseHandoverMetadata(value: string | undefined): HandoverMetadata | undefined {
    const parsed = handoverMetadataSchema.safeParse(parseJson(value ?? ""));
    return parsed.success && parsed.data.target.startsWith("/") ? parsed.data : undefined;
}

/** @returns what the header of an answer says; `undefined` where it can't be read, or the answer isn't a gateway's */
export function parseHandoverOutcome(value: string | undefined): HandoverOutcome | undefined {
    const parsed = handoverOutcomeSchema.safeParse(parseJson(value ?? ""));
    return parsed.success ? parsed.data : undefined;
}
