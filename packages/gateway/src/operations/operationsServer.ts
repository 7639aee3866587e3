import { createServer, type Server, type ServerResponse } from "node:http";

/** What the operations port tells the platform and operators. */
export interface OperationsDeps {
    /** Whether the balancer should send callers here; a reason where not. */
    readonly readiness: () => { readonly ready: boolean; readonly reason: string; };
    readonly renderMetrics: () => Promise<string>;
}

/**
 * Makes the server for health (`/healthz`), readiness (`/readyz`) and metrics (`/metrics`).
 *
 * @param parts - where the answers come from
 * @returns a server that doesn't listen yet
 */
export function createOperationsServer(parts: OperationsDeps): Server {
    return createServer({ requestTimeout: 5_000, maxHeaderSize: 8_192 }, (req, res) => {
        switch (req.url) {
            case "/healthz":
                answer(res, 200, "alive\n");
                return;
            case "/readyz": {
                const { ready, reason } = parts.readiness();
                answer(res, ready ? 200 : 503, `${reason}\n`);
                return;
            }
            case "/metrics":
                parts.renderMetrics().then(
                    text => answer(res, 200, text),
                    () => answer(res, 500, "metrics can't be collected\n"),
                );
                return;
            default:
                answer(res, 404, "known paths: /healthz, /readyz, /metrics\n");
        }
    });
}

function answer(res: ServerResponse, status: number, text: string): void {
    res.writeHead(status, { "content-type": "text/plain; charset=utf-8" });
    res.end(text);
}
