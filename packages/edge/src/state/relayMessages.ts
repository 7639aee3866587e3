import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";

/**
 * Path on which a gateway tells others changes of the store. Programs from before revisions had the store's term in them ask on `/changes`,
 * and get no answer that they would misread.
 */
export const relayPath = "/store-changes";

/** Path on which a gateway tells for how long it has heard the store without an outage. */
export const contactPath = "/contact";

/** Query parameters of a question for changes. */
export const relayParams = Object.freeze({
    /** Revision up to which the asking gateway knows everything. */
    after: "after",
    /** How long to wait for changes, in milliseconds. */
    wait: "wait",
});

/** Statuses of answers to a question for changes. */
export const relayStatus = Object.freeze({
    ok: 200,
    badRequest: 400,
    /** What came after the revision is not known any more: the store has to be read. */
    gone: 410,
    /** There are changes, too large to be passed on: the store has to be asked. */
    tooLarge: 413,
    /** The gateway doesn't reach the store itself. */
    unavailable: 503,
});

/** What a gateway answers where it reads the store. */
export const relayResponse = z.object({
    /** Up to which the changes go. */
    revision: z.number(),
    changed: z.array(z.object({
        key: z.string(),
        value: z.string(),
        modifiedRevision: z.number(),
        leaseId: z.string().optional(),
    })),
    deleted: z.array(z.string()),
    /** How long ago the store was heard, in milliseconds. */
    ageMs: z.number(),
    /** How long ago these changes were the store's whole present state, in milliseconds; missing where that isn't known. */
    currentAgeMs: z.number().min(0).optional(),
    /** For how long the store was heard without an outage, in milliseconds; missing where that isn't known. */
    heardForMs: z.number().min(0).optional(),
});

/** What a gateway says of its contact with the store. */
export const contactResponse = z.object({
    heardForMs: z.number().min(0),
});

/** Changes that one gateway relays to another. */
export type RelayResponse = DeepReadonly<z.output<typeof relayResponse>>;
