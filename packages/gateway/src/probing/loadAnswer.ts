import { type AnswerSigns } from "@galenaglade/cold-start";
import { Maybe } from "purify-ts";
import * as z from "zod";

const count = z.number().int().min(0).max(999_999);

/** What isn't known of is passed over, and a malformed sign counts as not said; only the load itself has to be there. */
const loadAnswerSchema = z.object({
    inFlight: count,
    state: z.enum(["warm", "cold", "leaving"]).optional().catch(undefined),
    incarnation: z.string().min(1).max(128).optional().catch(undefined),
    bears: count.optional().catch(undefined),
});

/** What a backend server says of itself when it is probed. */
export interface LoadAnswer extends AnswerSigns {
    readonly inFlight: number;
}

/**
 * @param text - body of an answer to a probe
 * @returns what it says; nothing where it is no load answer
 */
export function resolveLoadAnswer(text: string): Maybe<LoadAnswer> {
    return Maybe.encase((): unknown => JSON.parse(text)).chain(value => {
        const { data } = loadAnswerSchema.safeParse(value);
        return Maybe.fromNullable(data).map(({ inFlight, state, incarnation, bears }) => {
            return { inFlight, state, incarnation, bears };
        });
    });
}
