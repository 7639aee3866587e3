import { type RawResponse } from "@galenaglade/stand-ins";

/** How a caller reads the response on a connection, judged by its framing alone (RFC 9112, section 6.3). */
export interface ReadResponse {
    readonly status: number;
    /** Whether the framing says that the response is whole. */
    readonly looksWhole: boolean;
    readonly framing: "length" | "chunked" | "untilClose";
    readonly body: string;
}

const headEnd = "\r\n\r\n";

/** @returns the response, as a caller reads it; `undefined` if its head isn't whole */
export function readResponse({ text, reset }: RawResponse): ReadResponse | undefined {
    const end = text.indexOf(headEnd);
    if (end < 0) {
        return undefined;
    }
    const head = text.slice(0, end);
    const rest = text.slice(end + headEnd.length);
    const status = Number(head.slice(9, 12));
    const length = /^content-length: *(\d+)/im.exec(head)?.[1];
    if (/^transfer-encoding: *chunked/im.test(head)) {
        return { status, framing: "chunked", ...readChunks(rest) };
    }
    if (length !== undefined) {
        return { status, framing: "length", looksWhole: rest.length >= Number(length), body: rest };
    }
    return { status, framing: "untilClose", looksWhole: !reset, body: rest };
}

function readChunks(text: string): Pick<ReadResponse, "looksWhole" | "body"> {
    let body = "";
    let at = 0;
    while (at < text.length) {
        const lineEnd = text.indexOf("\r\n", at);
        const bytes = Number.parseInt(text.slice(at, lineEnd), 16);
        if (lineEnd < 0 || Number.isNaN(bytes)) {
            break;
        }
        if (bytes === 0) {
            return { looksWhole: true, body };
        }
        body += text.slice(lineEnd + 2, lineEnd + 2 + bytes);
        at = lineEnd + 2 + bytes + 2;
    }
    return { looksWhole: false, body };
}
