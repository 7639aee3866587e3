import { findHeader, type RequestBody } from "@galenaglade/http-parts";
import { createHash } from "node:crypto";
import { type RequestHead } from "./edgeRequest.js";

/** Headers that say on whose behalf a request is made. Others vary from one attempt to the next, or mean nothing to a server. */
const identityHeaders: readonly string[] = ["authorization", "cookie"];

const idLength = 12;
const separator = "\n";

/**
 * Names a request's method, authority, path and caller.
 *
 * @param head - as received
 * @returns the part of a content id that costs no look at the body
 */
export function createHeadId({ method, authority, url, headers }: RequestHead): string {
    const identity = identityHeaders.map(name => findHeader(headers, name) ?? "");
    return digest([method, authority, url, ...identity].join(separator));
}

/**
 * Names what a request asks of a backend server, whatever its request id and its deadline: two requests with the same content id
 * make a server do the same. Of a body that is streamed only the start and the length are told apart.
 *
 * @param headId - of the request
 * @param body - its body
 */
export function createContentId(headId: string, { start, bytes }: RequestBody): string {
    return bytes === 0 ? headId : `${headId}.${digest(`${bytes}${separator}`, start)}`;
}

function digest(text: string, bytes?: Buffer): string {
    const hash = createHash("sha256").update(text);
    return (bytes === undefined ? hash : hash.update(bytes)).digest("base64url").slice(0, idLength);
}
