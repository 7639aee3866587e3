import { resetConnection } from "@galenaglade/http-parts";
import { type ServerResponse } from "node:http";

/** How a response says where its body ends. */
export const garbledFramings = ["length", "chunked", "untilClose", "identity"] as const;
export type GarbledFraming = typeof garbledFramings[number];

/** How a server sends a response, besides its framing. */
export const garbledWays = [
    /** Whole, and ended as its framing says. */
    "whole",
    /** A part of the body, then a reset. */
    "resetMidway",
    /** All of the body, then a reset in place of what ends it. */
    "resetAtEnd",
    /** The first bytes of the response, a pause, and the whole response. */
    "stutter",
    /** Half of the response, a pause, and the whole response. */
    "stutterHalf",
    /** The whole response three times: twice at once, and once more late. */
    "thrice",
    /** A failure, and late a success. */
    "failedFirst",
    /** A part of the head, then the connection closes. */
    "headClosed",
    /** A part of the head, then a reset. */
    "headReset",
] as const;
export type GarbledWay = typeof garbledWays[number];

/** How a server garbles a share of its responses. */
export interface Garbling {
    readonly way: GarbledWay;
    readonly framing: GarbledFraming;
    /** Share of the responses. */
    readonly share: number;
    /** Time between the parts of a response, in milliseconds. */
    readonly pauseMs: number;
}

/** A response that is to be sent garbled. */
export interface GarbledResponse {
    /** Header lines without those of the framing. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly garbling: Garbling;
}

/** Bytes that a server that stutters sends first: the head and the beginning of the body. */
const stutterBytes = 200;
const failedStatus = 500;

/** Ways after which no success of the run may reach a caller. */
const brokenWays: ReadonlySet<GarbledWay> = new Set([
    "resetMidway",
    "resetAtEnd",
    "failedFirst",
    "headClosed",
    "headReset",
]);

/** @returns whether the server breaks the response off or lets it fail, so that its body isn't to reach a caller */
export function isBroken({ way }: Garbling): boolean {
    return brokenWays.has(way);
}

/** @returns whether a gateway can tell such a response from a whole one, or it is whole */
export function isTellable({ way, framing }: Pick<Garbling, "way" | "framing">): boolean {
    switch (framing) {
        case "length":
            return way !== "resetAtEnd";
        case "chunked":
            return true;
        case "untilClose":
        case "identity":
            return !["stutter", "stutterHalf", "thrice", "failedFirst"].includes(way);
    }
}

/** Sends a response as its garbling says. */
export function sendGarbled(res: ServerResponse, response: GarbledResponse): void {
    const { socket } = res;
    if (socket === null) {
        return;
    }
    const { garbling: { way, pauseMs }, headers, body } = response;
    const { head, payload, end } = renderParts(response);
    const all = head + payload + end;
    const endNormally = (): void => {
        if (!res.destroyed) {
            writeWhole(res, response);
        }
    };
    const later = (text: string): void => void setTimeout(() => socket.write(text), pauseMs);
    switch (way) {
        case "whole":
            endNormally();
            break;
        case "resetMidway":
            breakOff(res, head + payload.slice(0, payload.length / 2), "reset", pauseMs);
            break;
        case "resetAtEnd":
            breakOff(res, head + payload, "reset", pauseMs);
            break;
        case "headClosed":
            breakOff(res, head.slice(0, head.length / 2), "closed", pauseMs);
            break;
        case "headReset":
            breakOff(res, head.slice(0, head.length / 2), "reset", pauseMs);
            break;
        case "stutter":
        case "stutterHalf":
            socket.write(all.slice(0, way === "stutter" ? stutterBytes : all.length / 2));
            setTimeout(endNormally, pauseMs);
            break;
        case "thrice":
            endNormally();
            socket.write(all);
            later(all);
            break;
        case "failedFirst":
            res.writeHead(failedStatus, { ...headers, "content-length": body.length }).end(body);
            later(all);
    }
}

interface ResponseParts {
    readonly head: string;
    /** The body as it is framed, without what ends it. */
    readonly payload: string;
    readonly end: string;
}

function renderParts({ headers, body, garbling: { framing } }: GarbledResponse): ResponseParts {
    const framingHeaders: Readonly<Record<GarbledFraming, Readonly<Record<string, string>>>> = {
        length: { "content-length": String(body.length) },
        chunked: { "transfer-encoding": "chunked" },
        untilClose: {},
        identity: { "transfer-encoding": "identity" },
    };
    const lines = Object.entries({ ...headers, ...framingHeaders[framing] }).map(([name, value]) =>
        `${name}: ${value}`
    );
    const head = ["HTTP/1.1 200 OK", ...lines, "", ""].join("\r\n");
    return framing === "chunked"
        ? { head, payload: `${body.length.toString(16)}\r\n${body}\r\n`, end: "0\r\n\r\n" }
        : { head, payload: body, end: "" };
}

/** Sends a response whole, and ends it as its framing says. */
function writeWhole(res: ServerResponse, response: GarbledResponse): void {
    const { headers, body, garbling: { framing } } = response;
    switch (framing) {
        case "length":
            res.writeHead(200, { ...headers, "content-length": body.length }).end(body);
            break;
        case "chunked":
            res.writeHead(200, { ...headers, "transfer-encoding": "chunked" }).end(body);
            break;
        case "untilClose":
        case "identity": {
            const { head, payload } = renderParts(response);
            res.socket?.end(head + payload);
        }
    }
}

function breakOff({ socket }: ServerResponse, text: string, way: "closed" | "reset", pauseMs: number): void {
    const end = (): void => {
        if (way === "reset" && socket !== null) {
            resetConnection(socket, "fault");
            return;
        }
        socket?.end();
    };
    socket?.write(text, () => {
        if (pauseMs === 0) {
            end();
            return;
        }
        setTimeout(end, pauseMs);
    });
}
