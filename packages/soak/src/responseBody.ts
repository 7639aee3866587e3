/** Names the run of a request that a body belongs to. */
export interface BodyOrigin {
    readonly requestId: string;
    readonly server: string;
    /** Number of the run at its server. */
    readonly run: number;
}

const originPattern = /^\{"requestId":"([^"]*)","server":"([^"]*)","run":(\d+),/;

/**
 * Renders the body with which a server responds to a run. All of it follows from the run and the size, and no part
 * repeats another one, so that bytes that are missing, moved or of another run show.
 *
 * @param paddingBytes - the size that the request asks for, in bytes
 */
export function renderResponseBody({ requestId, server, run }: BodyOrigin, paddingBytes: number): string {
    const name = `${requestId}@${server}/${run}`;
    const parts: string[] = [];
    for (let bytes = 0; bytes < paddingBytes;) {
        const part = `${name}+${bytes};`;
        parts.push(part);
        bytes += part.length;
    }
    const padding = parts.join("").slice(0, paddingBytes);
    return JSON.stringify({ requestId, server, run, padding });
}

/** A body as a caller received it. */
export interface ReceivedBody extends BodyOrigin {
    /** Whether each byte is the one that the server's body has there, and none is missing. */
    readonly isExact: boolean;
    readonly wantedBytes: number;
}

/**
 * Compares a body with the one that its server meant.
 *
 * @param paddingBytes - the size that the request asks for, in bytes
 * @returns the run that its beginning names; `undefined` if it names none
 */
export function readResponseBody(body: string, paddingBytes: number): ReceivedBody | undefined {
    const found = originPattern.exec(body);
    if (found === null) {
        return undefined;
    }
    const [, requestId = "", server = "", run = ""] = found;
    const origin = { requestId, server, run: Number(run) };
    const wanted = renderResponseBody(origin, paddingBytes);
    return { ...origin, isExact: body === wanted, wantedBytes: wanted.length };
}
