import { type DeepReadonly } from "@galenaglade/configuration";
import * as z from "zod";

/** Path on which a gateway tells others the news of the store. */
export const newsPath = "/news";

/** Query parameters of a question for news. */
export const newsQuery = Object.freeze({
    /** Revision up to which the asking gateway knows everything. */
    after: "after",
    /** How long to wait for news, in milliseconds. */
    wait: "wait",
});

/** Statuses of answers to a question for news. */
export const newsStatus = Object.freeze({
    told: 200,
    malformed: 400,
    /** What came after the revision is not known any more: the store has to be read. */
    forgotten: 410,
    /** The gateway doesn't reach the store itself. */
    away: 503,
});

/** What a gateway answers where it reads the store. */
export const newsAnswer = z.object({
    /** Up to which the news go. */
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
});

/** The news that one gateway tells another. */
export type NewsAnswer = DeepReadonly<z.output<typeof newsAnswer>>;
