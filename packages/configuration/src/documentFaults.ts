import { type Either, Left, Right } from "purify-ts";
import { type z } from "zod";
import { acceptedKeys } from "./schemaOptions.js";

/** A validation error in a document. */
export interface DocumentFault {
    /** Keys and indexes from the document's root. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/** Validates a parsed document and fills in defaults; returns all faults at once, or the resolved document. */
export type DocumentResolver<T> = (document: unknown) => Either<readonly DocumentFault[], T>;

/**
 * Creates a {@link DocumentResolver} from a zod schema. Its messages name the accepted values, and for an unknown key
 * the accepted keys.
 *
 * @param schema - schema of the document
 * @returns the resolver
 */
export function createSchemaResolver<S extends z.ZodType>(schema: S): DocumentResolver<z.output<S>> {
    return document => {
        const parsed = schema.safeParse(document, { reportInput: true });
        if (parsed.success) {
            return Right(parsed.data);
        }
        return Left(parsed.error.issues.flatMap(issue => toFaults(issue, schema)));
    };
}

function toFaults(issue: z.core.$ZodIssue, schema: z.ZodType): readonly DocumentFault[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        const accepted = acceptedKeys(schema, issue.path).join(", ");
        return issue.keys.map(key => ({
            path: [...path, key],
            message: `unknown key; accepted keys: ${accepted}`,
        }));
    }
    if (issue.code === "invalid_type" && issue.input === undefined) {
        return [{ path, message: `missing; expected ${issue.expected}` }];
    }
    return [{ path, message: issue.message }];
}

/**
 * Formats a path in JavaScript property syntax.
 *
 * @param path - keys and indexes
 * @returns a string such as `services[0].patience`
 */
export function formatPath(path: readonly (string | number)[]): string {
    let text = "";
    for (const part of path) {
        if (typeof part === "number") {
            text += `[${part}]`;
        }
        else {
            text += text === "" ? part : `.${part}`;
        }
    }
    return text;
}
