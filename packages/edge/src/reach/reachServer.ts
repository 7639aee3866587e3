import { type IncomingMessage, type ServerResponse } from "node:http";
import { type ReachAnswer, reachServiceParameter, reachStatus } from "./reachMessages.js";

/** Knows whether this gateway reaches a service. */
export abstract class ReachFeed {
    abstract tell(service: string): Promise<ReachAnswer>;
}

/** Answers another gateway's question whether this one reaches a service. */
export async function handleReach(feed: ReachFeed, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const service = new URL(req.url ?? "/", "http://gateway").searchParams.get(reachServiceParameter);
    if (service === null) {
        send(res, reachStatus.malformed, "");
        return;
    }
    send(res, reachStatus.told, JSON.stringify(await feed.tell(service)));
}

function send(res: ServerResponse, status: number, body: string): void {
    if (!res.destroyed) {
        res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        res.end(body);
    }
}
