import { type RawHeaders } from "../headers.js";

/** Head of a response that was found inside another response's body. */
export interface EmbeddedHead {
    readonly status: number;
    readonly headers: RawHeaders;
}

/** Result of scanning some bytes of a body. */
export interface ScannedBytes {
    /** Bytes that belong to no head which may still be incomplete, in their order. */
    readonly cleared: Buffer;
    readonly heads: readonly EmbeddedHead[];
}

const marker = Buffer.from("HTTP/1.");
const headEnd = "\r\n\r\n";
const statusLine = /^HTTP\/1\.\d (\d{3})(?: |$)/;
const fieldLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):(.*)$/;
/** Length of a status line without its reason, in bytes. */
const statusBytes = "HTTP/1.1 200".length;
const maxHeadBytes = 32_768;
/** Maximum number of possible heads that are examined, which bounds the work for one body. */
const maxExamined = 1_000;
const noBytes = Buffer.alloc(0);

/**
 * Finds heads of responses inside a body, however its bytes are divided. Bytes of a head that isn't complete yet are held
 * back.
 */
export class EmbeddedHeadScanner {
    #held: Buffer = noBytes;
    #examined = 0;

    /** Whether bytes are held back. */
    get isHolding(): boolean {
        return this.#held.length > 0;
    }

    /** @param chunk - the body's next bytes */
    scan(chunk: Buffer): ScannedBytes {
        const data = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
        const heads: EmbeddedHead[] = [];
        let heldFrom = data.length;
        for (let at = data.indexOf(marker); at >= 0; at = data.indexOf(marker, at + marker.length)) {
            const found = this.#examine(data.subarray(at, at + maxHeadBytes));
            if (found === "incomplete") {
                heldFrom = at;
                break;
            }
            if (found !== "none") {
                heads.push(found);
            }
        }
        if (heldFrom === data.length) {
            heldFrom -= countMarkerBytesAtEnd(data);
        }
        this.#held = data.subarray(heldFrom);
        return { cleared: data.subarray(0, heldFrom), heads };
    }

    /** @returns the bytes that are held back */
    release(): Buffer {
        const held = this.#held;
        this.#held = noBytes;
        return held;
    }

    /**
     * @param behind - bytes that lie behind the body
     * @returns the head that begins in the bytes that are held back and ends in those behind the body, if there is one
     */
    completeWith(behind: Buffer): EmbeddedHead | undefined {
        const bytes = Buffer.concat([this.#held, behind.subarray(0, maxHeadBytes)]);
        if (!this.isHolding || !bytes.subarray(0, marker.length).equals(marker)) {
            return undefined;
        }
        const found = this.#examine(bytes);
        return typeof found === "string" ? undefined : found;
    }

    #examine(bytes: Buffer): EmbeddedHead | "incomplete" | "none" {
        this.#examined++;
        if (this.#examined > maxExamined) {
            return "none";
        }
        const isCut = bytes.length < maxHeadBytes;
        if (bytes.length < statusBytes) {
            return isCut ? "incomplete" : "none";
        }
        if (!statusLine.test(`${bytes.toString("latin1", 0, statusBytes)} `)) {
            return "none";
        }
        const end = bytes.indexOf(headEnd);
        const lines = bytes.toString("latin1", 0, end < 0 ? bytes.length : end).split("\r\n");
        if (end < 0) {
            // The last line isn't complete.
            lines.pop();
        }
        const [first = "", ...fields] = lines;
        const headers = parseFields(fields);
        if (headers === undefined || (first !== "" && !statusLine.test(first))) {
            return "none";
        }
        if (end < 0) {
            return isCut ? "incomplete" : "none";
        }
        return { status: Number(statusLine.exec(first)?.[1]), headers };
    }
}

/** @returns alternating names and values; `undefined` if a line is no header field */
function parseFields(lines: readonly string[]): RawHeaders | undefined {
    const headers: string[] = [];
    for (const line of lines) {
        const [, name, value] = fieldLine.exec(line) ?? [];
        if (name === undefined || value === undefined) {
            return undefined;
        }
        headers.push(name, value.trim());
    }
    return headers;
}

/** @returns the number of bytes at the end with which a marker may begin */
function countMarkerBytesAtEnd(data: Buffer): number {
    for (let count = Math.min(marker.length - 1, data.length); count > 0; count--) {
        if (data.subarray(data.length - count).equals(marker.subarray(0, count))) {
            return count;
        }
    }
    return 0;
}
