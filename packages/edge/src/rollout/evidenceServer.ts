import { parseJson } from "@galenaglade/http-parts";
import { type EvidenceReport } from "@galenaglade/rollout";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { maxRolloutReportBytes } from "../constants.js";
import { type EvidenceResponse, evidenceReport, evidenceStatus } from "./rolloutMessages.js";

/** Receives reports while this gateway coordinates a rollout. */
export abstract class EvidenceCollector {
    /** @returns the response, or `undefined` if this gateway can't coordinate now */
    abstract onReport(report: EvidenceReport): EvidenceResponse | undefined;
}

/**
 * Handles one report from another gateway.
 *
 * @param collector - receives the report
 * @param req - request with the report as its body
 * @param res - response to the request
 */
export function handleEvidenceReport(collector: EvidenceCollector, req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxRolloutReportBytes) {
            send(res, evidenceStatus.tooLarge, undefined);
            req.destroy();
            return;
        }
        chunks.push(chunk);
    });
    req.on("error", () => res.destroy());
    req.on("end", () => {
        const parsed = evidenceReport.safeParse(parseJson(Buffer.concat(chunks).toString("utf8")));
        if (!parsed.success) {
            send(res, evidenceStatus.badRequest, undefined);
            return;
        }
        const response = collector.onReport(parsed.data);
        send(res, response === undefined ? evidenceStatus.unavailable : evidenceStatus.ok, response);
    });
}

function send(res: ServerResponse, status: number, response: EvidenceResponse | undefined): void {
    const body = response === undefined ? "" : JSON.stringify(response);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    res.end(body);
}
