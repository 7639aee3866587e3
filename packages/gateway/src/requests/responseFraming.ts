import { type Framing } from "@galenaglade/at-most-once";

const noContent = 204;
const notModified = 304;

/**
 * Finds how an answer's end is marked (RFC 9112, section 6.3).
 *
 * @param method - of the request
 * @param status - of the answer
 * @param find - looks a header up by its lower-case name
 * @returns the framing
 */
export function resolveFraming(method: string, status: number, find: (name: string) => string | undefined): Framing {
    if (method === "HEAD" || status === noContent || status === notModified) {
        return { type: "none" };
    }
    if (find("transfer-encoding") !== undefined) {
        return { type: "chunked" };
    }
    const length = find("content-length");
    return length === undefined ? { type: "untilClose" } : { type: "length", bytes: Number(length) };
}
