import { type SendResult } from "../backends/sendRequest.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type ExchangeDeps } from "./exchangeDeps.js";

/**
 * Logs and counts a response that began and was given up as not whole.
 *
 * @param deps - the log and the metrics
 * @param request - the request
 * @param from - server or gateway that the response came from
 * @param result - how the send ended
 */
export function reportIncompleteResponse(
    { log, metrics }: Pick<ExchangeDeps, "log" | "metrics">,
    { requestId, rules }: Pick<EdgeRequest, "requestId" | "rules">,
    from: string,
    { end, body, streamed, detail, tookMs }: SendResult,
): void {
    if (end.type !== "unknown" || body === undefined) {
        return;
    }
    metrics.onIncompleteResponse(rules.name, body.framing, end.reason);
    log.log("warn", "responseIncomplete", {
        requestId,
        service: rules.name,
        from,
        reason: end.reason,
        detail,
        streamed,
        ...body,
        tookMs: Math.round(tookMs),
    });
}
