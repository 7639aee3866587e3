import { createFailure, type Failure } from "@galenaglade/errors";
import { nodeHTTPRequestHandler } from "@trpc/server/adapters/node-http";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import {
    headersTimeoutMs,
    idleConnectionTimeoutMs,
    maxCallBytes,
    maxOfferBytes,
    maxPeerConnections,
    connectionsCheckIntervalMs,
    requestTimeoutMs,
} from "./constants.js";
import { type PeerHandler, PeerListener } from "./peerCaller.js";
import { createPeerRouter } from "./peerRouter.js";

/** Options of {@link createPeerListener}. */
export interface PeerListenerOptions {
    /** IP address to listen on. */
    readonly host: string;
    /** Port to listen on; 0 for any free port. */
    readonly port: number;
    /** Shared secret of the fleet, required in each call. */
    readonly fleetKey: string;
}

/**
 * @param options - the address to listen on and the fleet's key
 * @returns a listener for tRPC calls over HTTP
 */
export function createPeerListener(options: PeerListenerOptions): PeerListener {
    return new HttpPeerListener(options);
}

class HttpPeerListener extends PeerListener {
    readonly #options: PeerListenerOptions;
    #server: Server | undefined;

    constructor(options: PeerListenerOptions) {
        super();
        this.#options = options;
    }

    override listen(handler: PeerHandler): Promise<Either<Failure, string>> {
        const router = createPeerRouter(handler);
        const expected = digest(`Bearer ${this.#options.fleetKey}`);
        const server = createServer(
            {
                headersTimeout: headersTimeoutMs,
                requestTimeout: requestTimeoutMs,
                connectionsCheckingInterval: connectionsCheckIntervalMs,
                keepAliveTimeout: idleConnectionTimeoutMs,
                maxHeaderSize: 8_192,
            },
            (req, res) => {
                // The Date header is unused and would make up a tenth of a heartbeat response.
                res.sendDate = false;
                if (authenticate(req, res, expected)) {
                    const path = resolvePath(req);
                    void nodeHTTPRequestHandler({ router, req, res, path, maxBodySize: maxBodyBytesFor(path) });
                }
            },
        );
        server.maxConnections = maxPeerConnections;
        this.#server = server;
        return new Promise(resolve => {
            server.once("error", err => resolve(Left(createFailure("internal", `peer port: ${err.message}`))));
            server.listen(this.#options.port, this.#options.host, () => {
                const { address, port, family } = server.address() as AddressInfo;
                resolve(Right(family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`));
            });
        });
    }

    override close(): Promise<void> {
        const server = this.#server;
        if (server === undefined) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    }
}

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Authenticates a caller; rejects it before any of its body is buffered. */
function authenticate(req: IncomingMessage, res: ServerResponse, expected: Buffer): boolean {
    // Compared in constant time: otherwise the duration would reveal how many leading characters of a guess are right.
    if (timingSafeEqual(digest(req.headers.authorization ?? ""), expected)) {
        return true;
    }
    reject(res, 401);
    return false;
}

function reject(res: ServerResponse, status: number): void {
    res.writeHead(status, { "connection": "close", "content-length": 0 });
    res.end();
}

function resolvePath(req: IncomingMessage): string {
    return (req.url ?? "/").slice(1).split("?", 1)[0] ?? "";
}

function maxBodyBytesFor(path: string): number {
    return path === "offer" ? maxOfferBytes : maxCallBytes;
}
