/** Derives option lists for messages and documentation from a zod schema, so that they can't diverge from it. */
import * as z from "zod";

/** One option of a schema: a value, or a list of values. */
export interface SchemaOption {
    /** Keys joined by dots; `[]` denotes the items of a list. */
    readonly path: string;
    /** Human-readable description of the accepted values. */
    readonly accepted: string;
    readonly description: string | undefined;
    /** Default value as YAML; `required` if there is none, empty if the option may be omitted without a default. */
    readonly defaultValue: string;
}

type Schema = z.core.$ZodType;

interface Unwrapped {
    readonly schema: Schema;
    readonly optional: boolean;
    readonly defaultValue: unknown;
    readonly description: string | undefined;
}

function unwrap(schema: Schema): Unwrapped {
    let inner = schema;
    let optional = false;
    let defaultValue: unknown;
    let description: string | undefined;
    for (;;) {
        description ??= (inner as z.ZodType).description;
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
            return { schema: inner, optional, defaultValue, description };
        }
    }
}

/**
 * Lists all options of a schema.
 *
 * @param schema - a zod object, which may contain nested objects and lists
 * @returns the options in the order of declaration
 */
export function listOptions(schema: Schema): readonly SchemaOption[] {
    return [...walk(schema, "")];
}

function* walk(schema: Schema, path: string): Iterable<SchemaOption> {
    const { schema: inner, optional, defaultValue, description } = unwrap(schema);
    if (inner instanceof z.ZodArray && unwrap(inner.element).schema instanceof z.ZodObject) {
        yield* walk(inner.element, `${path}[]`);
        return;
    }
    if (!(inner instanceof z.ZodObject)) {
        const written = defaultValue === undefined ? "" : JSON.stringify(defaultValue);
        yield { path, accepted: describeAccepted(inner), description, defaultValue: optional ? written : "required" };
        return;
    }
    for (const [key, child] of Object.entries<z.ZodType>(inner.shape)) {
        yield* walk(child, path === "" ? key : `${path}.${key}`);
    }
}

function describeAccepted(schema: Schema): string {
    if (schema instanceof z.ZodArray) {
        return `list of ${describeAccepted(unwrap(schema.element).schema)}`;
    }
    if (schema instanceof z.ZodEnum) {
        return schema.options.join(", ");
    }
    if (schema instanceof z.ZodBoolean) {
        return "true, false";
    }
    if (schema instanceof z.ZodNumber) {
        return `${schema.format === "safeint" ? "whole number" : "number"} ${describeRange(schema)}`;
    }
    return "text";
}

function describeRange({ minValue, maxValue, def }: z.ZodNumber): string {
    const isPositive = (def.checks ?? []).some(check =>
        check instanceof z.core.$ZodCheckGreaterThan && !check._zod.def.inclusive
    );
    const from = isPositive ? `above ${minValue ?? 0}` : `from ${minValue ?? 0}`;
    return `${from} to ${maxValue ?? "any"}`;
}

/**
 * Formats a schema's options as a table for the documentation; a test compares it with the pages.
 *
 * @param schema - a zod object
 * @returns a Markdown table
 */
export function formatOptions(schema: Schema): string {
    const rows = listOptions(schema).map(({ path, accepted, defaultValue, description }) => {
        const written = defaultValue === "" || defaultValue === "required" ? defaultValue : `\`${defaultValue}\``;
        return `| \`${path}\` | ${accepted} | ${written} | ${description ?? ""} |`;
    });
    return ["| option | accepts | default | meaning |", "| --- | --- | --- | --- |", ...rows].join("\n");
}

/**
 * Lists the keys that an object in a schema accepts.
 *
 * @param schema - schema of the whole document
 * @param path - path of the object in the document
 * @returns the object's keys, or an empty list if there is no object at the path
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
