import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** The range is below the ephemeral ports that the system assigns to outgoing connections. */
const firstPort = 10_000;
const lastPort = 30_000;

/**
 * Finds free ports on 127.0.0.1 for processes that are started, or restarted, on a given port. Ephemeral ports are
 * avoided: one could be assigned to an outgoing connection before the process listens, and the process would not start.
 *
 * @param count - number of ports
 * @returns distinct ports that nothing listens on
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const ports = new Set<number>();
    while (ports.size < count) {
        const port = randomInt(firstPort, lastPort);
        if (await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
