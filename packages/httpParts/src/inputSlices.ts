import { type Server } from "node:http";
import { type Socket } from "node:net";

type InputListener = (this: Socket, chunk: Buffer) => void;

/** Minimum size of a slice, so that input full of blank lines isn't parsed a few bytes at a time, in bytes. */
const minSliceBytes = 256;

/**
 * Makes the HTTP server parse what one read of a connection returns in slices that end with a blank line, as heads do. It
 * would otherwise create all the requests of a read, thousands of short ones, before any of them can be handled.
 *
 * @param server - a server that isn't listening yet
 * @param mayParse - asked for each slice; the rest of the read is discarded if it returns `false`
 */
export function enableInputSlices(server: Server, mayParse: (socket: Socket) => boolean): void {
    server.on("connection", (socket: Socket) => {
        // The HTTP server's own, which was added before.
        const [parse] = socket.listeners("data") as unknown as readonly InputListener[];
        if (parse === undefined) {
            return;
        }
        socket.off("data", parse);
        socket.on("data", (chunk: Buffer) => parseSlices(socket, chunk, parse, mayParse));
    });
}

function parseSlices(
    socket: Socket,
    chunk: Buffer,
    parse: InputListener,
    mayParse: (socket: Socket) => boolean,
): void {
    let at = 0;
    while (at < chunk.length && !socket.destroyed && mayParse(socket)) {
        // The HTTP server pauses a connection on which too much output waits, and its parser with it.
        if (socket.isPaused()) {
            socket.unshift(chunk.subarray(at));
            return;
        }
        const end = findSliceEnd(chunk, at);
        parse.call(socket, end - at === chunk.length ? chunk : chunk.subarray(at, end));
        at = end;
    }
}

/** @returns the offset behind the first blank line at the end of a slice */
function findSliceEnd(chunk: Buffer, at: number): number {
    const from = at + minSliceBytes;
    if (from >= chunk.length) {
        return chunk.length;
    }
    const ends = ["\n\r\n", "\n\n"].map(blank => {
        const found = chunk.indexOf(blank, from - blank.length, "latin1");
        return found < 0 ? chunk.length : found + blank.length;
    });
    return Math.min(...ends);
}
