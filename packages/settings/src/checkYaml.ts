import { type Either, Left, Right } from "purify-ts";
import { type Document, isMap, isNode, isScalar, isSeq, LineCounter, type Pair, parseDocument } from "yaml";
import { type z } from "zod";
import { acceptedKeys } from "./schemaTree.js";

/** One fault in a document, found by its path. */
export interface PathFault {
    /** Keys and indexes from the document's root. */
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/** One fault with where it stands in the file. */
export interface LocatedFault extends PathFault {
    /** Counted from 1. */
    readonly line: number;
    /** Counted from 1. */
    readonly column: number;
}

/** Checks a parsed document; all faults at once, or what it resolves to. */
export type ResolveDocument<T> = (document: unknown) => Either<readonly PathFault[], T>;

/**
 * Parses YAML and checks it, and finds the line of every fault.
 *
 * @param text - YAML, one document
 * @param resolve - checks what was parsed
 * @returns all faults at once in the order of their lines, or what the document resolves to
 */
export function checkYaml<T>(text: string, resolve: ResolveDocument<T>): Either<readonly LocatedFault[], T> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    const faults: LocatedFault[] = [];
    let broken = false;
    for (const err of document.errors) {
        const at = lines.linePos(err.pos[0]);
        faults.push({ path: [], message: err.message, line: at.line, column: at.col });
        broken ||= err.code !== "DUPLICATE_KEY";
    }
    // A document that doesn't parse has holes, and each would be named as a missing key; one with a key written
    // twice is whole, so its other faults are named along with that one.
    if (broken) {
        return Left(sortByPlace(faults));
    }
    return resolveParsed(document, resolve).caseOf({
        Left: found => Left(sortByPlace([...faults, ...found.map(fault => locate(fault, document, lines))])),
        Right: value => faults.length > 0 ? Left(sortByPlace(faults)) : Right(value),
    });
}

function resolveParsed<T>(document: Document.Parsed, resolve: ResolveDocument<T>): Either<readonly PathFault[], T> {
    let value: unknown;
    try {
        value = document.toJS({ maxAliasCount: 100 });
    }
    catch (err) {
        return Left([{ path: [], message: err instanceof Error ? err.message : String(err) }]);
    }
    return resolve(value);
}

function sortByPlace(faults: readonly LocatedFault[]): readonly LocatedFault[] {
    return [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
}

function locate(fault: PathFault, document: Document.Parsed, lines: LineCounter): LocatedFault {
    const { line, col } = lines.linePos(findOffset(document, fault.path));
    return { ...fault, line: Math.max(1, line), column: Math.max(1, col) };
}

/** The offset of what a path leads to, or of the deepest part of it that was written. */
function findOffset(document: Document.Parsed, path: readonly (string | number)[]): number {
    let node: unknown = document.contents;
    let offset = offsetOf(document.contents);
    for (const part of path) {
        if (isMap(node)) {
            const pair = (node.items as readonly Pair[]).find(item => keyOf(item) === String(part));
            if (pair === undefined) {
                return offset;
            }
            offset = offsetOf(pair.key);
            node = pair.value;
        }
        else if (isSeq(node) && typeof part === "number") {
            node = node.items[part];
            offset = offsetOf(node) || offset;
        }
        else {
            return offset;
        }
    }
    return offset;
}

function keyOf(pair: Pair): string {
    return isScalar(pair.key) ? String(pair.key.value) : String(pair.key);
}

function offsetOf(node: unknown): number {
    return isNode(node) ? node.range?.[0] ?? 0 : 0;
}

/**
 * Makes a {@link ResolveDocument} from a zod schema. A wrong value's message says what is accepted, an unknown key's
 * which keys are.
 *
 * @param schema - what the document must be
 * @returns the check
 */
export function resolveBySchema<S extends z.ZodType>(schema: S): ResolveDocument<z.output<S>> {
    return document => {
        const parsed = schema.safeParse(document, { reportInput: true });
        if (parsed.success) {
            return Right(parsed.data);
        }
        return Left(parsed.error.issues.flatMap(issue => toFaults(issue, schema)));
    };
}

function toFaults(issue: z.core.$ZodIssue, schema: z.ZodType): readonly PathFault[] {
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
 * Writes faults as a person reads them, one a line.
 *
 * @param file - name of the file that holds them
 * @param faults - what {@link checkYaml} found
 * @returns lines of the form `file:line:column: path: message`
 */
export function formatFaults(file: string, faults: readonly LocatedFault[]): string {
    const lines = faults.map(fault => {
        const path = fault.path.length === 0 ? "" : `${formatPath(fault.path)}: `;
        return `${file}:${fault.line}:${fault.column}: ${path}${fault.message}`;
    });
    return lines.join("\n");
}

/**
 * Writes a path as it would stand in code.
 *
 * @param path - keys and indexes
 * @returns for instance `services[0].patience`
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
