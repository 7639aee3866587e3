import { type RawResponse } from "@galenaglade/stand-ins";
import { type ReadResponse, readResponse } from "./readResponse.js";

/** One of several responses on a connection. */
export interface ReadResponseOf extends Omit<ReadResponse, "framing"> {
    readonly framing: ReadResponse["framing"] | "noBody";
    /** Request id in its head. */
    readonly requestId: string | undefined;
}

const headEnd = "\r\n\r\n";
const lastChunk = "\r\n0\r\n\r\n";

/**
 * Splits what a caller received into responses, judged by their framing alone (RFC 9112, section 6.3).
 *
 * @param raw - all bytes of the connection, and whether it was reset
 * @param methods - methods of the requests sent on it, in order
 * @returns the responses whose heads are whole; bytes behind the last one are part of its body
 */
export function readResponses(raw: RawResponse, methods: readonly string[]): readonly ReadResponseOf[] {
    const responses: ReadResponseOf[] = [];
    let rest = raw.text;
    for (const [i, method] of methods.entries()) {
        const bytes = i === methods.length - 1 ? rest.length : measureResponse(rest, method);
        const text = rest.slice(0, bytes);
        const read = readOne({ text, reset: raw.reset }, method);
        if (read === undefined) {
            break;
        }
        responses.push(read);
        rest = rest.slice(bytes);
    }
    return responses;
}

function hasNoBody(text: string, method: string): boolean {
    return method === "HEAD" || /^HTTP\/1\.\d (?:204|304) /.test(text);
}

function readOne(raw: RawResponse, method: string): ReadResponseOf | undefined {
    const read = readResponse(raw);
    if (read === undefined) {
        return undefined;
    }
    const end = raw.text.indexOf(headEnd) + headEnd.length;
    const requestId = /^x-id: *(\S+)/im.exec(raw.text.slice(0, end))?.[1];
    return hasNoBody(raw.text, method)
        ? { status: read.status, framing: "noBody", looksWhole: true, body: raw.text.slice(end), requestId }
        : { ...read, requestId };
}

/** @returns the number of bytes of the first response */
function measureResponse(text: string, method: string): number {
    const end = text.indexOf(headEnd);
    if (end < 0) {
        return text.length;
    }
    const bodyStart = end + headEnd.length;
    const head = text.slice(0, end);
    if (hasNoBody(head, method)) {
        return bodyStart;
    }
    if (/^transfer-encoding: *chunked/im.test(head)) {
        const last = text.indexOf(lastChunk, end);
        return last < 0 ? text.length : last + lastChunk.length;
    }
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    return length === undefined ? text.length : Math.min(text.length, bodyStart + Number(length));
}
