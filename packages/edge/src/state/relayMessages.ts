import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";
import { durationMs, storePosition } from "../messageFields.js";

/**
 * Path on which a gateway serves changes of the store to others. Releases whose revisions don't include the store's
 * term request `/changes`, so they never get a response in this format, which they would misread.
 */
export const relayPath = "/store-changes";

/** Path on which a gateway serves how long it has been in uninterrupted contact with the store. */
export const contactPath = "/contact";

/** Query parameters of a request for changes. */
export const relayParams = Object.freeze({
    /** Revision up to which the client has all changes. */
    after: "after",
    /** Maximum time to hold the request open until there are changes, in milliseconds. */
    wait: "wait",
});

/** Status codes of responses to a request for changes. */
export const relayStatus = Object.freeze({
    ok: 200,
    badRequest: 400,
    /** The history after the revision is no longer kept: the client has to read the whole state from the store. */
    gone: 410,
    /** The changes are too large to be relayed: the client has to fetch them from the store. */
    tooLarge: 413,
    /** The gateway doesn't reach the store itself. */
    unavailable: 503,
});

/** Response with changes of the store. */
export const relayResponse = z.object({
    /** Revision up to which the response has all changes. */
    revision: storePosition,
    changed: z.array(z.object({
        key: z.string(),
        value: z.string(),
        modifiedRevision: storePosition,
        leaseId: z.string().optional(),
    })),
    deleted: z.array(z.string()),
    /** Time since the last contact with the store, in milliseconds. */
    ageMs: durationMs,
    /** Time since the relay's state was last known to be up to date, in milliseconds; absent if unknown. */
    currentAgeMs: durationMs.optional(),
    /** Duration of the relay's uninterrupted contact with the store, in milliseconds; absent if unknown. */
    heardForMs: durationMs.optional(),
});

/** Response with the duration of a gateway's uninterrupted contact with the store, in milliseconds. */
export const contactResponse = z.object({
    heardForMs: durationMs,
});

/** Changes that one gateway relays to another. */
export type RelayResponse = DeepReadonly<z.output<typeof relayResponse>>;
