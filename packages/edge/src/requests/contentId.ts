import { findHeader, type RequestBody } from "@galenaglade/http-parts";
import { createHash } from "node:crypto";
import { type RequestHead } from "./edgeRequest.js";

/**
 * Headers that identify the user behind a request. All other headers are left out, since they vary from one attempt to
 * the next or don't change what a server does.
 */
const identityHeaders: readonly string[] = ["authorization", "cookie"];

const idLength = 12;
const separator = "\n";

/**
 * Digests a request's method, authority, path and identity headers.
 *
 * @param head - request head as received
 * @returns the part of a content id that is computed without the body
 */
export function createHeadId({ method, authority, url, headers }: RequestHead): string {
    const identity = identityHeaders.map(name => findHeader(headers, name) ?? "");
    return digest([method, authority, url, ...identity].join(separator));
}

/**
 * Identifies the work that a request causes on a backend server, independent of its request id and deadline: two
 * requests with the same content id make a server do the same. Streamed bodies are compared only by their start and
 * length.
 *
 * @param headId - id of the request's head, from {@link createHeadId}
 * @param body - body of the request
 */
export function createContentId(headId: string, { prefix, byteLength }: RequestBody): string {
    return byteLength === 0 ? headId : `${headId}.${digest(`${byteLength}${separator}`, prefix)}`;
}

function digest(text: string, bytes?: Buffer): string {
    const hash = createHash("sha256").update(text);
    return (bytes === undefined ? hash : hash.update(bytes)).digest("base64url").slice(0, idLength);
}
