/** How the end of a response's body is marked (RFC 9112, section 6.3). */
export type BodyFraming =
    /** No body can follow, as in a response to HEAD or with status 204 or 304. */
    | { readonly type: "none"; }
    /** `bytes`: declared length, in bytes. */
    | { readonly type: "length"; readonly bytes: number; }
    | { readonly type: "chunked"; }
    /** The body ends with its connection, so that nobody can tell whether it is whole. */
    | { readonly type: "untilClose"; }
    /** A transfer coding that was not asked for: the bytes that arrive aren't those of the body. */
    | { readonly type: "encoded"; readonly coding: string; readonly isChunked: boolean; };

const switchingProtocols = 101;
const noContent = 204;
const notModified = 304;

const decimal = /^\d+$/;

/** Transfer codings that leave the body's bytes as they are; `identity` was part of HTTP/1.1 until RFC 7230. */
const transparentCodings: ReadonlySet<string> = new Set(["identity", "chunked"]);

/**
 * Determines how the end of a response's body is marked.
 *
 * @param method - method of the request; `undefined` if unknown, which counts as one whose response has a body
 * @param status - status code of the response
 * @param findValues - returns all values of a header by its lower-case name
 * @returns the framing of the body
 */
export function resolveBodyFraming(
    method: string | undefined,
    status: number,
    findValues: (name: string) => readonly string[],
): BodyFraming {
    if (method === "HEAD" || status === noContent || status === notModified) {
        return { type: "none" };
    }
    const codings = findValues("transfer-encoding").join(",").toLowerCase().split(",")
        .map(coding => coding.trim())
        .filter(coding => coding !== "");
    const isChunked = codings.at(-1) === "chunked";
    const encoding = codings.find(coding => !transparentCodings.has(coding));
    if (encoding !== undefined) {
        return { type: "encoded", coding: encoding, isChunked };
    }
    if (isChunked) {
        return { type: "chunked" };
    }
    const [length = ""] = findValues("content-length");
    return codings.length > 0 || !decimal.test(length) || status === switchingProtocols
        ? { type: "untilClose" }
        : { type: "length", bytes: Number(length) };
}
