import { type Either, Left, Right } from "purify-ts";
import { type Document, isMap, isNode, isScalar, isSeq, LineCounter, type Pair, parseDocument } from "yaml";
import { type DocumentFault, formatPath, type DocumentResolver } from "./documentFaults.js";

/** A fault with its position in the file. */
export interface LocatedFault extends DocumentFault {
    /** 1-based. */
    readonly line: number;
    /** 1-based. */
    readonly column: number;
}

/**
 * Parses and validates a YAML document and locates every fault in it.
 *
 * @param text - a single YAML document
 * @param resolve - validates the parsed document
 * @returns all faults ordered by position, or the resolved document
 */
export function checkYaml<T>(text: string, resolve: DocumentResolver<T>): Either<readonly LocatedFault[], T> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    const faults: LocatedFault[] = [];
    let hasSyntaxError = false;
    for (const err of document.errors) {
        const at = lines.linePos(err.pos[0]);
        faults.push({ path: [], message: err.message, line: at.line, column: at.col });
        hasSyntaxError ||= err.code !== "DUPLICATE_KEY";
    }
    // After a syntax error the document is incomplete, and validation would report every lost part as a missing key. A
    // document with a duplicate key is complete, so its other faults are reported as well.
    if (hasSyntaxError) {
        return Left(sortByPosition(faults));
    }
    return resolveParsed(document, resolve).caseOf({
        Left: found => Left(sortByPosition([...faults, ...found.map(fault => locate(fault, document, lines))])),
        Right: value => faults.length > 0 ? Left(sortByPosition(faults)) : Right(value),
    });
}

function resolveParsed<T>(
    document: Document.Parsed,
    resolve: DocumentResolver<T>,
): Either<readonly DocumentFault[], T> {
    let value: unknown;
    try {
        value = document.toJS({ maxAliasCount: 100 });
    }
    catch (err) {
        return Left([{ path: [], message: err instanceof Error ? err.message : String(err) }]);
    }
    return resolve(value);
}

function sortByPosition(faults: readonly LocatedFault[]): readonly LocatedFault[] {
    return [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
}

function locate(fault: DocumentFault, document: Document.Parsed, lines: LineCounter): LocatedFault {
    const { line, col } = lines.linePos(findOffset(document, fault.path));
    return { ...fault, line: Math.max(1, line), column: Math.max(1, col) };
}

/** Finds the offset of the node at a path, or of its deepest ancestor that exists in the document. */
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
 * Formats faults for display, one per line.
 *
 * @param file - name of the file
 * @param faults - faults found by {@link checkYaml}
 * @returns lines of the form `file:line:column: path: message`
 */
export function formatFaults(file: string, faults: readonly LocatedFault[]): string {
    const lines = faults.map(fault => {
        const path = fault.path.length === 0 ? "" : `${formatPath(fault.path)}: `;
        return `${file}:${fault.line}:${fault.column}: ${path}${fault.message}`;
    });
    return lines.join("\n");
}
