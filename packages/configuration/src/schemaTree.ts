/** Reads a zod schema's own structure, so that messages and the documentation's test can't differ from it. */
import { z } from "zod";

/** One option of a schema. */
export interface SchemaOption {
    /** Keys joined by dots; `[]` stands for each item of a list. */
    readonly path: string;
    readonly description: string | undefined;
    /** Whether it may be left out. */
    readonly optional: boolean;
    /** What goes where it is left out; `undefined` where there is none. */
    readonly defaultValue: unknown;
}

type Schema = z.core.$ZodType;

interface Unwrapped {
    readonly schema: Schema;
    readonly optional: boolean;
    readonly defaultValue: unknown;
}

function unwrap(schema: Schema): Unwrapped {
    let inner = schema;
    let optional = false;
    let defaultValue: unknown;
    for (;;) {
        if (inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault) {
            optional = true;
            defaultValue = inner.def.defaultValue;
            inner = inner.def.innerType;
        }
        else if (inner instanceof z.ZodOptional) {
            optional = true;
            inner = inner.def.innerType;
        }
        else {
            return { schema: inner, optional, defaultValue };
        }
    }
}

/**
 * Lists every option of a schema, outermost first.
 *
 * @param schema - a zod object, at any depth of objects and lists
 * @returns the options in the order of declaration
 */
export function listOptions(schema: Schema): readonly SchemaOption[] {
    return [...walk(schema, "")];
}

function* walk(schema: Schema, prefix: string): Iterable<SchemaOption> {
    const { schema: inner } = unwrap(schema);
    if (inner instanceof z.ZodArray) {
        yield* walk(inner.element, `${prefix}[]`);
        return;
    }
    if (!(inner instanceof z.ZodObject)) {
        return;
    }
    for (const [key, child] of Object.entries<z.ZodType>(inner.shape)) {
        const path = prefix === "" ? key : `${prefix}.${key}`;
        const { optional, defaultValue } = unwrap(child);
        yield { path, description: child.description, optional, defaultValue };
        yield* walk(child, path);
    }
}

/**
 * Names the keys that an object in a schema accepts.
 *
 * @param schema - the whole schema
 * @param path - where in a document the object stands
 * @returns its keys, or none where the path leads to no object
 */
export function acceptedKeys(schema: Schema, path: readonly PropertyKey[]): readonly string[] {
    let { schema: inner } = unwrap(schema);
    for (const part of path) {
        let child: Schema | undefined;
        if (inner instanceof z.ZodArray) {
            child = inner.element;
        }
        else if (inner instanceof z.ZodObject) {
            child = (inner.shape as Readonly<Record<PropertyKey, z.ZodType | undefined>>)[part];
        }
        if (child === undefined) {
            return [];
        }
        inner = unwrap(child).schema;
    }
    return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}
