import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

/** What a server does with the rest of a request that it has answered early. */
export type AfterEarlyResponse = "readsOn" | "stopsReading" | "closesSoon";

/** Options of an {@link EarlyBackend}. */
export interface EarlyBackendOptions {
    readonly after: AfterEarlyResponse;
    /** Time until a server that closes soon does so, in milliseconds. Default: 20. */
    readonly closeAfterMs?: number;
    /** Requests with a longer declared body are answered before it has arrived, in bytes. */
    readonly minBytes: number;
    /** Answers a load probe or a request; the body of a short one has arrived by then. */
    readonly respond: (req: IncomingMessage, res: ServerResponse) => void;
}

const defaultCloseAfterMs = 20;

/** A backend server that responds to long requests before it has read them. */
export class EarlyBackend {
    readonly port: number;
    readonly stop: () => void;

    private constructor(port: number, stop: () => void) {
        this.port = port;
        this.stop = stop;
    }

    static async start(options: EarlyBackendOptions): Promise<EarlyBackend> {
        const { after, closeAfterMs = defaultCloseAfterMs, minBytes, respond } = options;
        const server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
            req.on("error", () => undefined);
            if (Number(req.headers["content-length"] ?? 0) <= minBytes) {
                req.resume();
                req.once("end", () => respond(req, res));
                return;
            }
            respond(req, res);
            if (after === "readsOn") {
                req.resume();
                return;
            }
            // Keeps the HTTP server from discarding the rest by itself.
            req.once("readable", () => undefined);
            if (after === "closesSoon") {
                setTimeout(() => req.socket.destroy(), closeAfterMs);
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return new EarlyBackend((server.address() as AddressInfo).port, () => {
            server.closeAllConnections();
            server.close();
        });
    }
}
