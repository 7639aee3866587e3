import { type DeepReadonly } from "@galenaglade/configuration";
import { errorKinds } from "@galenaglade/errors";
import { parseJson } from "@galenaglade/http-parts";
import * as z from "zod";
import { configVersion, durationMs, remainingMs, retryAfterSeconds } from "../messageFields.js";

/** Path on which a gateway receives handed-over requests, under the request's own method. */
export const handoverPath = "/handover";

/** Header of a handed-over request and of its response: JSON in ASCII. Never forwarded to servers or callers. */
export const handoverHeader = "galenaglade-handover";

/** Schema of the metadata that a gateway sends with a request that it hands over. */
export const handoverMetadataSchema = z.object({
    /** Name of the sending gateway, as registered. */
    from: z.string(),
    /** Path and query as the caller sent them. */
    target: z.string(),
    /** Service that was picked among the route's destinations. */
    service: z.string(),
    /** Oldest version of the configuration by which the request may be handled. */
    version: configVersion,
    /** Time since the request arrived, in milliseconds. */
    ageMs: durationMs,
    /** Time until the final response is due, in milliseconds. */
    remainingMs,
    /** Number of servers on which the request may still run. */
    runs: z.number().int().min(1),
    /** Address of the caller. */
    caller: z.string(),
    /**
     * Whether a body that ended with its server's connection may come in a framing that shows its end. The end of the other
     * gateway's process would look like the end of the body otherwise.
     */
    framesBodies: z.boolean().default(false),
});

/** Metadata that a gateway sends with a request that it hands over. */
export type HandoverMetadata = DeepReadonly<z.output<typeof handoverMetadataSchema>>;

/** Why a gateway refuses a handed-over request, in which case it has done nothing with it. */
export const handoverRefusalReasons = [
    "malformed",
    "notRegistered",
    "busy",
    "stopping",
    "behind",
    "noRoute",
    "unreached",
] as const;

/** Schema of the outcome that a gateway sends with its response to a handed-over request. */
export const handoverOutcomeSchema = z.discriminatedUnion("type", [
    /** The response is a backend server's. */
    z.object({
        type: z.literal("answered"),
        version: configVersion,
        server: z.string().optional(),
        /** Whether the server's body ended with its connection, although its framing here shows its end. */
        untilClose: z.boolean().default(false),
    }),
    z.object({
        type: z.literal("refused"),
        reason: z.enum(handoverRefusalReasons),
        /** Names of gateways that are known to reach the service. */
        named: z.array(z.string().max(256)).max(16),
    }),
    /** The gateway tried and got no server's response. */
    z.object({
        type: z.literal("failed"),
        kind: z.enum(errorKinds),
        detail: z.string(),
        /** Whether the request certainly has not run. */
        notRun: z.boolean(),
        retryAfterSeconds: retryAfterSeconds.optional(),
        /** Whether that gateway no longer reaches the service either. */
        unreached: z.boolean(),
        /** Whether the request may have reached a server, so that another send of it is a repeat. */
        reachedServer: z.boolean().default(true),
    }),
]);

/** Outcome that a gateway sends with its response to a handed-over request. */
export type HandoverOutcome = DeepReadonly<z.output<typeof handoverOutcomeSchema>>;

/** @returns the header's value, JSON with all non-ASCII characters escaped */
export function renderHandoverHeader(value: HandoverMetadata | HandoverOutcome): string {
    return JSON.stringify(value).replace(
        /[^\x20-\x7e]/g,
        char => `\\u${char.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
}

/** @returns the metadata in a request's header; `undefined` if it is missing or malformed */
export function parseHandoverMetadata(value: string | undefined): HandoverMetadata | undefined {
    const parsed = handoverMetadataSchema.safeParse(parseJson(value ?? ""));
    return parsed.success && parsed.data.target.startsWith("/") ? parsed.data : undefined;
}

/** @returns the outcome in a response's header; `undefined` if it is missing or malformed */
export function parseHandoverOutcome(value: string | undefined): HandoverOutcome | undefined {
    const parsed = handoverOutcomeSchema.safeParse(parseJson(value ?? ""));
    return parsed.success ? parsed.data : undefined;
}
