import { createServer, type Server, type ServerResponse } from "node:http";

/** Dependencies of the operations server, which the platform and operators query. */
export interface OperationsDeps {
    /** Whether the load balancer should send callers to this host, with the reason if not. */
    readonly readiness: () => { readonly ready: boolean; readonly reason: string; };
    readonly renderMetrics: () => Promise<string>;
}

/**
 * Creates the server for health (`/healthz`), readiness (`/readyz`) and metrics (`/metrics`).
 *
 * @param deps - dependencies
 * @returns a server that is not listening yet
 */
export function createOperationsServer(deps: OperationsDeps): Server {
    return createServer({ requestTimeout: 5_000, maxHeaderSize: 8_192 }, (req, res) => {
        switch (req.url) {
            case "/healthz":
                respond(res, 200, "alive\n");
                return;
            case "/readyz": {
                const { ready, reason } = deps.readiness();
                respond(res, ready ? 200 : 503, `${reason}\n`);
                return;
            }
            case "/metrics":
                deps.renderMetrics().then(
                    text => respond(res, 200, text),
                    () => respond(res, 500, "metrics can't be collected\n"),
                );
                return;
            default:
                respond(res, 404, "known paths: /healthz, /readyz, /metrics\n");
        }
    });
}

function respond(res: ServerResponse, status: number, text: string): void {
    res.writeHead(status, { "content-type": "text/plain; charset=utf-8" });
    res.end(text);
}
