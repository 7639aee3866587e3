import { createServer, type Server } from "node:http";

/** Whether callers should be sent here, and why not. */
export interface Readiness {
    readonly ready: boolean;
    readonly reason: string;
}

const readyStatus = 200;
const notReadyStatus = 503;

/**
 * Makes the server that tells the balancer whether to send callers here.
 *
 * @param path - on which it asks
 * @param readiness - asked each time
 * @returns a server that doesn't listen yet
 */
export function createReadinessServer(path: string, readiness: () => Readiness): Server {
    return createServer((req, res) => {
        if (req.url?.split("?")[0] !== path) {
            res.writeHead(404).end();
            return;
        }
        const { ready, reason } = readiness();
        res.writeHead(ready ? readyStatus : notReadyStatus, { "content-type": "text/plain; charset=utf-8" });
        res.end(`${reason}\n`);
    });
}

/**
 * Makes the server that serves metrics in Prometheus' text format, under `/metrics`.
 *
 * @param render - writes them
 * @returns a server that doesn't listen yet
 */
export function createMetricsServer(render: () => Promise<string>): Server {
    return createServer((req, res) => {
        if (req.url?.split("?")[0] !== "/metrics") {
            res.writeHead(404).end();
            return;
        }
        render().then(
            text => res.writeHead(readyStatus, { "content-type": "text/plain; charset=utf-8" }).end(text),
            () => res.writeHead(500).end(),
        );
    });
}
