import { type Server } from "node:http";
import { type AddressInfo } from "node:net";

/** Where a port listens. */
export interface ListenAddress {
    readonly address: string;
    /** 0 for any free one. */
    readonly port: number;
}

/**
 * Opens a server's port.
 *
 * @param server - the server
 * @param at - where
 * @returns the port that it listens on; fails where it can't be opened
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
