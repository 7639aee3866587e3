import { type RawRequest } from "@galenaglade/stand-ins";
import { setTimeout as sleep } from "node:timers/promises";

/** How a server frames a response. */
export type ScriptedFraming =
    | "length"
    | "chunked"
    | "chunked in another coding"
    | "other coding"
    | "identity"
    | "none"
    | "HTTP/1.0 without a length"
    | "HEAD"
    | "204"
    | "304";

/** How a server's response ends. */
export type ScriptedEnd =
    | "exact"
    | "closed early"
    | "reset early, some milliseconds later"
    | "reset early, in the same turn"
    | "excess bytes at once"
    | "excess bytes later"
    | "whole response again at once"
    | "parse error";

export const scriptedFramings: readonly ScriptedFraming[] = [
    "length",
    "chunked",
    "chunked in another coding",
    "other coding",
    "identity",
    "none",
    "HTTP/1.0 without a length",
    "HEAD",
    "204",
    "304",
];

export const scriptedEnds: readonly ScriptedEnd[] = [
    "exact",
    "closed early",
    "reset early, some milliseconds later",
    "reset early, in the same turn",
    "excess bytes at once",
    "excess bytes later",
    "whole response again at once",
    "parse error",
];

/** A response that a server sends. */
export interface ScriptedResponse {
    readonly framing: ScriptedFraming;
    readonly end: ScriptedEnd;
    readonly body: string;
}

/** A response's bytes as text. */
export interface RenderedResponse {
    readonly head: string;
    readonly payload: string;
}

const openEnded: ReadonlySet<ScriptedFraming> = new Set([
    "other coding",
    "identity",
    "none",
    "HTTP/1.0 without a length",
]);
const encoded: ReadonlySet<ScriptedFraming> = new Set(["chunked in another coding", "other coding"]);
const bodiless: ReadonlySet<ScriptedFraming> = new Set(["HEAD", "204", "304"]);
const behindWhole: ReadonlySet<ScriptedEnd> = new Set(["excess bytes at once", "excess bytes later"]);
const early: ReadonlySet<ScriptedEnd> = new Set([
    "closed early",
    "reset early, some milliseconds later",
    "reset early, in the same turn",
]);

const excessBytes = "excess";
const laterMs = 20;
const chunks = 3;

/** @returns whether the body ends with the connection */
export function isOpenEnded(framing: ScriptedFraming): boolean {
    return openEnded.has(framing);
}

/** @returns whether a transfer coding is applied that wasn't asked for */
export function isEncoded(framing: ScriptedFraming): boolean {
    return encoded.has(framing);
}

/** @returns whether a response of this framing can end so: bytes can't exceed a body that ends with its connection */
export function canEndSo(framing: ScriptedFraming, end: ScriptedEnd): boolean {
    return !openEnded.has(framing) || !behindWhole.has(end);
}

/** @returns whether the server sends all of the response before it ends the connection in any way */
export function isWhole(end: ScriptedEnd): boolean {
    return !early.has(end) && end !== "parse error";
}

/** @returns the bytes of a response to this request */
export function renderResponse(
    { framing, body }: Pick<ScriptedResponse, "framing" | "body">,
    requestId: string,
    ...moreHeaders: readonly string[]
): RenderedResponse {
    const version = framing === "HTTP/1.0 without a length" ? "HTTP/1.0" : "HTTP/1.1";
    const status = framing === "204" ? "204 No Content" : framing === "304" ? "304 Not Modified" : "200 OK";
    const lines = [`${version} ${status}`, `x-id: ${requestId}`, "x-signed: 1", ...moreHeaders];
    lines.push(...renderFraming(framing, body));
    return { head: [...lines, "", ""].join("\r\n"), payload: renderPayload(framing, body) };
}

function renderFraming(framing: ScriptedFraming, body: string): readonly string[] {
    switch (framing) {
        case "length":
        case "HEAD":
            return [`content-length: ${body.length}`];
        case "chunked":
            return ["transfer-encoding: chunked"];
        case "chunked in another coding":
            return ["transfer-encoding: gzip, chunked"];
        case "other coding":
            return ["transfer-encoding: gzip"];
        case "identity":
            return ["transfer-encoding: identity"];
        default:
            return [];
    }
}

function renderPayload(framing: ScriptedFraming, body: string): string {
    if (bodiless.has(framing)) {
        return "";
    }
    if (framing !== "chunked" && framing !== "chunked in another coding") {
        return body;
    }
    const size = Math.max(1, Math.ceil(body.length / chunks));
    let payload = "";
    for (let at = 0; at < body.length; at += size) {
        const chunk = body.slice(at, at + size);
        payload += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    }
    return `${payload}0\r\n\r\n`;
}

/** @returns what is sent of a response that ends early: half of its body, or of its head if it has none */
function cutEarly({ head, payload }: RenderedResponse): string {
    return payload === "" ? head.slice(0, head.length / 2) : head + payload.slice(0, payload.length / 2);
}

/** @returns a response that a parser rejects: within its chunks, or in its head if it has none */
function spoil({ framing }: ScriptedResponse, { head, payload }: RenderedResponse): string {
    if (framing === "chunked" || framing === "chunked in another coding") {
        return `${head}${payload.replace("0\r\n\r\n", "zz\r\n\r\n")}`;
    }
    return `${head.replace("x-signed", "x signed")}${payload}`;
}

/** Sends a response to a request, and ends it as scripted. @returns once the last bytes were written */
export async function playResponse(req: RawRequest, script: ScriptedResponse): Promise<void> {
    const { socket } = req;
    // Late bytes would otherwise wait until the response before them is acknowledged, by the next request.
    socket.setNoDelay(true);
    const rendered = renderResponse(script, req.headers.get("x-id") ?? "");
    const whole = rendered.head + rendered.payload;
    const endsByClose = isOpenEnded(script.framing);
    const write = (text: string): void => {
        if (!socket.destroyed) {
            socket.write(text);
        }
    };
    switch (script.end) {
        case "exact":
            write(whole);
            break;
        case "closed early":
            socket.end(cutEarly(rendered));
            return;
        case "reset early, some milliseconds later":
            write(cutEarly(rendered));
            await sleep(laterMs);
            socket.resetAndDestroy();
            return;
        case "reset early, in the same turn":
            write(cutEarly(rendered));
            socket.resetAndDestroy();
            return;
        case "excess bytes at once":
            write(whole + excessBytes);
            break;
        case "excess bytes later":
            write(whole);
            await sleep(laterMs);
            write(excessBytes);
            break;
        case "whole response again at once":
            write(whole + whole);
            break;
        case "parse error":
            socket.end(spoil(script, rendered));
            return;
    }
    if (endsByClose) {
        socket.end();
    }
}

/**
 * @returns the body that the server meant, as far as framing tells: what ends with the connection is whole up to a
 *     normal close; `undefined` if nothing that looks whole is right
 */
export function meantBody(script: ScriptedResponse): string | undefined {
    const { framing, end, body } = script;
    if (encoded.has(framing)) {
        return undefined;
    }
    if (isWhole(end)) {
        return bodiless.has(framing) ? "" : body;
    }
    if (openEnded.has(framing) && end === "closed early") {
        return body.slice(0, body.length / 2);
    }
    return undefined;
}
