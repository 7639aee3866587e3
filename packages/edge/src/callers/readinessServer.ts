import { createServer, type Server } from "node:http";

/** Readiness for new callers, with the reason. */
export interface Readiness {
    readonly ready: boolean;
    readonly reason: string;
}

const readyStatus = 200;
const notReadyStatus = 503;

/**
 * Creates the server for the readiness checks of the load balancer in front of the gateways.
 *
 * @param path - path of the readiness check
 * @param readiness - called for each check
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
 * Creates the server for metrics in Prometheus' text format, under `/metrics`.
 *
 * @param render - renders the metrics
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
