import { type Failure, resolveFailure } from "@galenaglade/errors";
import { type LogFields } from "@galenaglade/telemetry";
import { type IncomingMessage } from "node:http";
import { type EdgeRequest } from "../requests/edgeRequest.js";
import { type Exchange } from "../requests/exchange.js";
import { type ExchangeDeps } from "../requests/exchangeDeps.js";
import { type ExchangeResult } from "../requests/localReplies.js";

/** Dependencies of an {@link OutcomeReporter}. */
export type OutcomeReporterDeps = Pick<ExchangeDeps, "clock" | "log" | "metrics" | "view" | "metadataCodec">;

/** Logs and counts how requests ended. */
export class OutcomeReporter {
    readonly #deps: OutcomeReporterDeps;

    constructor(deps: OutcomeReporterDeps) {
        this.#deps = deps;
    }

    /** Reports a request that has its result, at the end of its exchange. */
    onEnded(
        request: EdgeRequest,
        req: IncomingMessage,
        result: ExchangeResult,
        exchange: Exchange,
        signal: AbortSignal,
    ): void {
        if (result.type === "failed") {
            this.onFailed(req, request, result.failure, request.arrivedAtMs, { exchange, signal });
            return;
        }
        const { clock, log, metrics } = this.#deps;
        const tookMs = Math.round(clock.monotonicMs() - request.arrivedAtMs);
        const outcome = describeOutcome(result);
        if (request.handedOverBy === undefined) {
            metrics.onRequestEnded(request.route.name, outcome, tookMs);
            this.#countWorkspace(request, tookMs <= request.route.objectiveMs ? "inTime" : "late");
        }
        else {
            metrics.onHandoverReceived(outcome);
        }
        log.log("info", "requestEnded", {
            requestId: request.requestId,
            route: request.route.name,
            service: request.rules.name,
            workspace: workspaceName(request),
            version: request.version,
            outcome,
            tookMs,
            ...describeUnread(req),
            ...exchange.describe(),
        });
        this.#reportUnconfirmed(request, result);
    }

    /** Reports a response that is passed on although its framing doesn't show whether it is whole. */
    #reportUnconfirmed(
        { requestId, route, rules }: EdgeRequest,
        result: Exclude<ExchangeResult, { readonly type: "failed"; }>,
    ): void {
        const body = result.type === "answered" ? result.response.bodyReport : result.body;
        if (body?.framing !== "untilClose" || (result.type === "streamed" && !result.complete)) {
            return;
        }
        const { log, metrics } = this.#deps;
        const passedOn = result.type === "answered" ? "buffered" : "streamed";
        metrics.onUnconfirmedResponse(rules.name, passedOn);
        log.log("info", "responseUnconfirmed", {
            requestId,
            route: route.name,
            service: rules.name,
            passedOn,
            ...body,
        });
    }

    /**
     * Reports a request that failed.
     *
     * @param request - the resolved request; `undefined` if it was rejected before
     * @param context - its exchange; `undefined` if it failed before
     */
    onFailed(
        req: IncomingMessage,
        request: EdgeRequest | undefined,
        failure: Failure,
        arrivedAtMs: number,
        context: { readonly exchange: Exchange; readonly signal: AbortSignal; } | undefined,
    ): void {
        const { clock, log, metrics, view, metadataCodec } = this.#deps;
        const nowMs = clock.monotonicMs();
        const { status, retryAfterSeconds } = resolveFailure(failure);
        const tookMs = Math.round(nowMs - arrivedAtMs);
        if (request?.handedOverBy === undefined) {
            metrics.onRequestEnded(request?.route.name ?? "", failure.kind, tookMs);
        }
        else {
            metrics.onHandoverReceived(failure.kind);
        }
        if (request !== undefined && request.handedOverBy === undefined) {
            this.#countWorkspace(request, failure.kind);
        }
        log.log("warn", "requestFailed", {
            requestId: request?.requestId ?? metadataCodec.readRequest(req.rawHeaders).requestId,
            route: request?.route.name,
            service: request?.rules.name,
            workspace: request && workspaceName(request),
            version: request?.version ?? view.configurationInForce?.configuration.version,
            kind: failure.kind,
            detail: failure.detail,
            status,
            retryAfterSeconds,
            tookMs,
            ...describeUnread(req),
            ...context?.exchange.describe(),
            aborted: context?.signal.aborted === true ? String(context.signal.reason) : undefined,
            sinceStoreMs: Math.round(nowMs - view.lastStoreContactMs),
            sinceCurrentMs: Math.round(nowMs - view.currentAsOfMs),
        });
    }

    #countWorkspace(request: EdgeRequest, outcome: string): void {
        const workspace = workspaceName(request);
        if (workspace !== undefined) {
            this.#deps.metrics.onWorkspaceRequest(workspace, outcome);
        }
    }
}

function describeOutcome(result: Exclude<ExchangeResult, { readonly type: "failed"; }>): string {
    if (result.type === "answered") {
        return String(result.response.status);
    }
    return result.complete ? "streamed" : "truncated";
}

/** @returns log fields of a request that was answered before all of it was read */
function describeUnread(req: IncomingMessage): LogFields {
    return { unread: req.complete ? undefined : true };
}

function workspaceName({ callerIdentity }: EdgeRequest): string | undefined {
    return callerIdentity.type === "known" ? callerIdentity.workspace.name : undefined;
}
