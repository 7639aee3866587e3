import { resetConnection } from "@galenaglade/http-parts";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { type TestContext } from "node:test";

/** One request as received by a raw backend server. */
export interface RawRequest {
    readonly method: string;
    readonly path: string;
    /** Values by lower-case header name. */
    readonly headers: ReadonlyMap<string, string>;
    readonly body: string;
    /** Number of the connection that it arrived on, counted from 1. */
    readonly connection: number;
    /** Number of the request on its connection, counted from 1. */
    readonly requestNumber: number;
    readonly socket: Socket;
}

/** A backend server on raw sockets, so that a test controls each byte sent and how connections are closed. */
export interface RawBackend {
    readonly port: number;
    readonly requests: readonly RawRequest[];
    /** Simulates a crash: the port refuses connections, and open ones are reset. */
    stop(): Promise<void>;
}

/** Starts a raw backend server on a free port; it is stopped at the end of the test. */
export async function startRawBackend(t: TestContext, serve: (req: RawRequest) => void): Promise<RawBackend> {
    const requests: RawRequest[] = [];
    const sockets = new Set<Socket>();
    let connectionCount = 0;
    const server = createServer(socket => {
        const connection = ++connectionCount;
        let requestCount = 0;
        let received = "";
        sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (
                let parsedRequest = parseRequest(received);
                parsedRequest !== undefined;
                parsedRequest = parseRequest(received)
            ) {
                received = received.slice(parsedRequest.bytes);
                const req = { ...parsedRequest, connection, requestNumber: ++requestCount, socket };
                requests.push(req);
                serve(req);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const stop = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            for (const socket of sockets) {
                resetConnection(socket, "fault");
            }
        });
    t.after(() => {
        server.close();
        for (const socket of sockets) {
            socket.destroy();
        }
    });
    return { port: (server.address() as AddressInfo).port, requests, stop };
}

function parseRequest(
    received: string,
): (Pick<RawRequest, "method" | "path" | "headers" | "body"> & { readonly bytes: number; }) | undefined {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const head = received.slice(0, headEnd);
    const [requestLine = "", ...lines] = head.split("\r\n");
    const headers = new Map(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const contentLength = Number(headers.get("content-length") ?? 0);
    const bytes = headEnd + 4 + contentLength;
    if (received.length < bytes) {
        return undefined;
    }
    const [method = "", path = ""] = requestLine.split(" ");
    return { bytes, method, path, headers, body: received.slice(headEnd + 4).slice(0, contentLength) };
}

/** @returns a complete HTTP/1.1 response with a Content-Length header */
export function renderRawResponse(body: string, status = "200 OK", headers: readonly string[] = []): string {
    return [`HTTP/1.1 ${status}`, `content-length: ${body.length}`, ...headers, "", body].join("\r\n");
}

/** What a raw caller connection received. */
export interface RawResponse {
    readonly text: string;
    /** Whether the connection was reset instead of closed normally. */
    readonly reset: boolean;
}

/** Sends raw bytes as a caller and collects the response until the connection closes. */
export function sendRawRequest(url: string, text: string): Promise<RawResponse> {
    return new Promise(resolve => {
        const socket = connect({ port: Number(new URL(url).port), host: "127.0.0.1", allowHalfOpen: true });
        let received = "";
        let reset = false;
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
        });
        socket.on("error", () => {
            reset = true;
        });
        // Bytes and a reset that are read in one poll are reported as bytes and an end; only a write fails then.
        socket.on("end", () => socket.write(Buffer.alloc(0), () => socket.end()));
        socket.on("close", () => resolve({ text: received, reset }));
        socket.write(text);
    });
}
