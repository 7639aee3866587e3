import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

const bodyLimitBytes = 4 * 1_048_576;

/** Address that a server listens on. */
export interface ListenAddress {
    readonly host: string;
    /** 0 selects any free port. */
    readonly port: number;
}

/** Parses an address such as `127.0.0.1:7000`; without a port, any free port is used. */
export function parseListenAddress(text: string): ListenAddress {
    const [host = "127.0.0.1", port = "0"] = text.split(":");
    return { host, port: Number(port) };
}

/**
 * @param req - a request whose body hasn't been read yet
 * @returns the complete body
 * @throws RangeError if the body exceeds 4 MiB
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > bodyLimitBytes) {
            throw new RangeError("the body is too long");
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Reads a JSON body; an empty body is read as an empty object. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
    const body = await readBody(req);
    return body.length === 0 ? {} : JSON.parse(body.toString("utf8")) as unknown;
}

/** Sends a complete JSON response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/** A server that is listening. */
export interface ListeningServer {
    readonly server: Server;
    /** Such as `http://127.0.0.1:40123`. */
    readonly url: string;
    readonly port: number;
}

/**
 * Starts an HTTP server. An error thrown by `handle` is sent as status 400.
 *
 * @param address - address to listen on
 * @param handle - handles one request
 * @returns the server and the address that it is bound to
 */
export async function listen(
    address: ListenAddress,
    handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
): Promise<ListeningServer> {
    const server = createServer((req, res) => {
        handle(req, res).catch((err: unknown) => {
            if (res.headersSent) {
                res.destroy();
                return;
            }
            sendJson(res, 400, { error: err instanceof Error ? err.message : "failed" });
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, resolve);
    });
    const { port } = server.address() as AddressInfo;
    return { server, url: `http://${address.host}:${port}`, port };
}

/** Stops immediately and closes all open connections, including those with unanswered requests. */
export async function closeServer(server: Server): Promise<void> {
    const closed = new Promise(resolve => server.close(resolve));
    server.closeAllConnections();
    await closed;
}
