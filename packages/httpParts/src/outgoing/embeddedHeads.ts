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
const lineEnd = "\r\n";
const headEnd = Buffer.from("\r\n\r\n");
const statusLine = /^HTTP\/1\.\d (\d{3})(?: |$)/;
const fieldLine = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):(.*)$/;
/** Length of a status line without its reason, in bytes. */
const statusBytes = "HTTP/1.1 200".length;
const maxHeadBytes = 32_768;
/** Number of bytes of possible heads that are examined in one body; nothing is found beyond. */
const maxExaminedBytes = 4_194_304;
const noBytes = Buffer.alloc(0);

/**
 * Finds heads of responses inside a body, however its bytes are divided. Bytes of a head that isn't complete yet are held
 * back.
 */
export class EmbeddedHeadScanner {
    #held: Buffer = noBytes;
    #workLeft = maxExaminedBytes;

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
     * @param behind - bytes that lie behind the body; `undefined` if there are none yet
     * @returns the head that begins in the bytes that are held back and ends in those behind the body, or what there is of
     * it in whole lines without such bytes; `undefined` if there is no head
     */
    completeWith(behind: Buffer | undefined): EmbeddedHead | undefined {
        const bytes = behind === undefined
            ? Buffer.concat([this.#held.subarray(0, Math.max(0, this.#held.lastIndexOf(lineEnd))), headEnd])
            : Buffer.concat([this.#held, behind.subarray(0, maxHeadBytes)]);
        if (!this.isHolding || !bytes.subarray(0, marker.length).equals(marker)) {
            return undefined;
        }
        const found = this.#examine(bytes);
        return typeof found === "string" ? undefined : found;
    }

    #examine(bytes: Buffer): EmbeddedHead | "incomplete" | "none" {
        const isCut = bytes.length < maxHeadBytes;
        if (this.#workLeft <= 0) {
            return "none";
        }
        if (bytes.length < statusBytes) {
            return isCut ? "incomplete" : "none";
        }
        const status = statusLine.exec(`${bytes.toString("latin1", 0, statusBytes)} `)?.[1];
        if (status === undefined) {
            return "none";
        }
        const headers: string[] = [];
        let at = bytes.indexOf(lineEnd);
        while (at >= 0) {
            const next = at + lineEnd.length;
            const end = bytes.indexOf(lineEnd, next);
            this.#workLeft -= (end < 0 ? bytes.length : end) - at;
            if (end === next) {
                return { status: Number(status), headers };
            }
            if (end < 0) {
                break;
            }
            const [, name, value] = fieldLine.exec(bytes.toString("latin1", next, end)) ?? [];
            if (name === undefined || value === undefined || this.#workLeft <= 0) {
                return "none";
            }
            headers.push(name, value.trim());
            at = end;
        }
        return isCut ? "incomplete" : "none";
    }
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
