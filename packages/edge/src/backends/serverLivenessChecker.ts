import { type RegisteredServer, type ServerAddress } from "@galenaglade/fleet-state";
import { DirectConnector, type ServerConnector } from "./serverConnector.js";

/** Result of a liveness check: the server's port refuses connections, accepts them, or neither could be determined. */
export type ServerLiveness = "ended" | "listening" | "unknown";

/**
 * Checks whether backend servers that lost a request have exited. The check opens and closes a connection without
 * sending anything, so that it adds no load to a server that is merely overloaded.
 */
export class ServerLivenessChecker {
    readonly #connector: ServerConnector;
    readonly #checksInFlight = new Map<string, Promise<ServerLiveness>>();

    /** @param connector - opens the sockets */
    constructor(connector: ServerConnector = new DirectConnector()) {
        this.#connector = connector;
    }

    /** @returns the liveness of a server; concurrent calls for one server share a check */
    check({ id, address }: RegisteredServer): Promise<ServerLiveness> {
        const inFlight = this.#checksInFlight.get(id);
        if (inFlight !== undefined) {
            return inFlight;
        }
        const check = tryConnect(address, this.#connector).finally(() => this.#checksInFlight.delete(id));
        this.#checksInFlight.set(id, check);
        return check;
    }
}

function tryConnect(address: ServerAddress, connector: ServerConnector): Promise<ServerLiveness> {
    return new Promise(resolve => {
        connector.connect(address, opened => {
            if (opened instanceof Error) {
                const { code } = opened as NodeJS.ErrnoException;
                resolve(code === "ECONNREFUSED" ? "ended" : "unknown");
                return;
            }
            opened.on("error", () => undefined);
            opened.destroy();
            resolve("listening");
        });
    });
}
