import { type RegisteredServer, type ServerAddress } from "@galenaglade/fleet-state";
import { DirectConnector, type ServerConnector } from "./serverConnector.js";

/** What a check of a backend server found: nobody listens there any more, somebody does, or neither is known. */
export type ServerLiveness = "ended" | "listening" | "unknown";

/**
 * Checks whether backend servers that lost a request have ended. A connection is opened and closed and nothing is sent, so that a
 * server that is merely full isn't asked for more.
 */
export class ServerLivenessChecker {
    readonly #links: ServerConnector;
    readonly #underWay = new Map<string, Promise<ServerLiveness>>();

    /** @param links - open the sockets */
    constructor(links: ServerConnector = new DirectConnector()) {
        this.#links = links;
    }

    /** @returns the state of a server; requests that were lost together share one check */
    check({ id, address }: RegisteredServer): Promise<ServerLiveness> {
        const known = this.#underWay.get(id);
        if (known !== undefined) {
            return known;
        }
        const check = tryConnect(address, this.#links).finally(() => this.#underWay.delete(id));
        this.#underWay.set(id, check);
        return check;
    }
}

function tryConnect(address: ServerAddress, links: ServerConnector): Promise<ServerLiveness> {
    return new Promise(resolve => {
        links.connect(address, opened => {
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
