import { createServer, type Server } from "node:net";
import { type AddressInfo } from "node:net";

/**
 * Finds ports on 127.0.0.1 that nothing listens on, all different. Another program may take one before it is used.
 *
 * @param count - how many
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    for (let i = 0; i < count; i++) {
        const server = createServer();
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, "127.0.0.1", resolve);
        });
        servers.push(server);
    }
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    return ports;
}
