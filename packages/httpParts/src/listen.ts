import { type Server } from "node:http";
import { type AddressInfo } from "node:net";

/** Address on which a server listens. */
export interface ListenAddress {
    readonly address: string;
    /** 0 selects a free port. */
    readonly port: number;
}

/**
 * Starts listening.
 *
 * @param server - the server
 * @param at - address and port
 * @returns the port that the server listens on; rejects if the port can't be opened
 */
export function listen(server: Server, at: ListenAddress): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(at.port, at.address, () => {
            server.off("error", reject);
            resolve((server.address() as AddressInfo).port);
        });
    });
}
