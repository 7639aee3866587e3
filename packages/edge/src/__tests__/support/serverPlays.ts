import { type RawRequest } from "@galenaglade/stand-ins";
import fc from "fast-check";
import { setImmediate as nextTurn } from "node:timers/promises";
import {
    isEncoded,
    isOpenEnded,
    type RenderedResponse,
    renderResponse,
    type ScriptedFraming,
    scriptedFramings,
} from "./scriptedResponses.js";

/** How a server ends a connection. */
export type ConnectionEnd = "kept" | "closed" | "reset";

/** What a server sends for one request, drawn at random. */
export interface ServerPlay {
    readonly framing: ScriptedFraming;
    readonly bodyBytes: number;
    /** Bytes sent first, after which the whole response begins anew, as a share of the response; `undefined`: none. */
    readonly stutterShare: number | undefined;
    /** Part of the bytes that is sent before the end, as a share. */
    readonly sentShare: number;
    readonly excess: string;
    readonly end: ConnectionEnd;
    /** Where the bytes are split into writes, as shares. */
    readonly splits: readonly number[];
    /** Whether all is written in one turn, as if the reader had stood still meanwhile. */
    readonly readerStandsStill: boolean;
}

const share = fc.double({ min: 0, max: 1, noNaN: true });
const maxBodyBytes = 4_000;
const maxSplits = 4;

/** Draws what a server sends that doesn't begin again. */
export const steadyPlays: fc.Arbitrary<ServerPlay> = fc.record({
    framing: fc.constantFrom(...scriptedFramings),
    bodyBytes: fc.integer({ min: 0, max: maxBodyBytes }),
    stutterShare: fc.constant(undefined),
    sentShare: fc.oneof(fc.constant(1), share),
    excess: fc.constantFrom("", "", "", "x", "HTTP/1.1 200 OK\r\n"),
    end: fc.constantFrom<ConnectionEnd>("kept", "closed", "reset"),
    splits: fc.array(share, { maxLength: maxSplits }),
    readerStandsStill: fc.boolean(),
});

/** Draws what a server sends that sends any number of first bytes twice. */
export const stutteringPlays: fc.Arbitrary<ServerPlay> = fc.tuple(steadyPlays, share).map(([play, stutterShare]) => ({
    ...play,
    stutterShare,
}));

/** @returns the body of a play, no part of which occurs elsewhere in the response */
export function createBody({ bodyBytes }: ServerPlay): string {
    let body = "";
    for (let i = 0; body.length < bodyBytes; i++) {
        body += `${i};`;
    }
    return body.slice(0, bodyBytes);
}

function render(play: ServerPlay, requestId: string): RenderedResponse {
    return renderResponse({ framing: play.framing, body: createBody(play) }, requestId);
}

/** @returns all that the server sends */
function renderBytes(play: ServerPlay, requestId: string): string {
    const { head, payload } = render(play, requestId);
    const whole = head + payload;
    const first = whole.slice(0, Math.floor(whole.length * (play.stutterShare ?? 0)));
    // Bytes behind a body that ends with its connection are part of it.
    const all = first + whole + (isOpenEnded(play.framing) ? "" : play.excess);
    return all.slice(0, Math.ceil(all.length * play.sentShare));
}

/** Sends a play's bytes, and ends the connection. */
export async function playBytes({ socket, headers }: RawRequest, play: ServerPlay): Promise<void> {
    const text = renderBytes(play, headers.get("x-id") ?? "");
    const cuts = [...play.splits.map(at => Math.floor(text.length * at)).sort((a, b) => a - b), text.length];
    socket.setNoDelay(true);
    let at = 0;
    for (const cut of cuts) {
        if (cut > at && !socket.destroyed) {
            socket.write(text.slice(at, cut));
        }
        at = cut;
        if (!play.readerStandsStill) {
            await nextTurn();
            await nextTurn();
        }
    }
    if (play.end === "closed") {
        socket.end();
    }
    else if (play.end === "reset") {
        socket.resetAndDestroy();
    }
}

/**
 * @returns the only body that may be taken for the server's; `undefined` if none may: it isn't whole, or the end of its
 *     connection, by which it is framed, wasn't a normal one
 */
export function wholeBody(play: ServerPlay, requestId: string): string | undefined {
    const body = createBody(play);
    if (isEncoded(play.framing)) {
        return undefined;
    }
    if (!isOpenEnded(play.framing)) {
        return play.framing === "HEAD" || play.framing === "204" || play.framing === "304" ? "" : body;
    }
    if (play.end !== "closed") {
        return undefined;
    }
    const { head } = render(play, requestId);
    const sent = renderBytes(play, requestId).slice(head.length);
    // A normal close shows no cut, so what was sent up to it counts as the body.
    return body.startsWith(sent) ? sent : body;
}
