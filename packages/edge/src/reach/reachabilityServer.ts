import { type IncomingMessage, type ServerResponse } from "node:http";
import { type ReachabilityResponse, reachabilityServiceParam, reachabilityStatus } from "./reachabilityMessages.js";

/** Provides whether this gateway reaches a service. */
export abstract class ReachabilityProvider {
    abstract getReachability(service: string): Promise<ReachabilityResponse>;
}

/** Serves another gateway's query whether this one reaches a service. */
export async function handleReachabilityRequest(
    provider: ReachabilityProvider,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> {
    const [, query] = (req.url ?? "/").split("?");
    const service = new URLSearchParams(query).get(reachabilityServiceParam);
    if (service === null) {
        send(res, reachabilityStatus.badRequest, "");
        return;
    }
    send(res, reachabilityStatus.ok, JSON.stringify(await provider.getReachability(service)));
}

function send(res: ServerResponse, status: number, body: string): void {
    if (!res.destroyed) {
        res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        res.end(body);
    }
}
