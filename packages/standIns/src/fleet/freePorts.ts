import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** Below the ports that the system gives to outgoing connections. */
const firstPort = 10_000;
const lastPort = 30_000;

/**
 * Finds ports on 127.0.0.1 for a process that is started, or started again, on them. A port that the system chose might be
 * given to somebody's outgoing connection before the process listens, and it could not start.
 *
 * @param count - how many
 * @returns ports that nothing listens on now, all different
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
