import { type ResponseFraming } from "@galenaglade/at-most-once";

const noContent = 204;
const notModified = 304;

/**
 * Determines how the end of a response's body is delimited (RFC 9112, section 6.3).
 *
 * @param method - the request's method
 * @param status - the response's status code
 * @param findHeader - looks up a response header by its lower-case name
 * @returns the body's framing
 */
export function resolveFraming(
    method: string,
    status: number,
    findHeader: (name: string) => string | undefined,
): ResponseFraming {
    if (method === "HEAD" || status === noContent || status === notModified) {
        return { type: "none" };
    }
    if (findHeader("transfer-encoding") !== undefined) {
        return { type: "chunked" };
    }
    const length = findHeader("content-length");
    return length === undefined ? { type: "untilClose" } : { type: "length", bytes: Number(length) };
}
