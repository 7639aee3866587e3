import { type Metrics } from "@galenaglade/telemetry";

/** Counters and histograms of an edge process. */
export class EdgeMetrics {
    readonly #requests;
    readonly #durations;
    readonly #waits;
    readonly #sends;
    readonly #lostSends;
    readonly #contents;
    readonly #limits;
    readonly #notices;
    readonly #limitDecisions;
    readonly #asks;
    readonly #storeCalls;
    readonly #relayRequests;

    constructor({ meter }: Metrics) {
        this.#requests = meter.createCounter("galenaglade.requests", { description: "requests by route and outcome" });
        this.#durations = meter.createHistogram("http.server.request.duration", { unit: "s" });
        this.#waits = meter.createHistogram("http.placement.request.duration", {
            unit: "s",
            description: "time until a backend server was chosen",
        });
        this.#sends = meter.createCounter("galenaglade.sends", { description: "sends by service, purpose and end" });
        this.#lostSends = meter.createCounter("galenaglade.lost_sends", {
            description: "sends whose connection was lost, by service and by what became of the server",
        });
        this.#contents = meter.createCounter("galenaglade.contents_judged", {
            description: "changes of what is believed of requests under which servers ended, by the new belief",
        });
        this.#limits = meter.createCounter("galenaglade.server_limits", {
            description: "limits that servers named, changed or ended, by service and change",
        });
        this.#notices = meter.createCounter("galenaglade.server_notices", {
            description: "answers in which servers ask for rest, say that they leave, or say something unknown",
        });
        this.#limitDecisions = meter.createCounter("galenaglade.workspace_limit_decisions", {
            description: "requests of limited workspaces, by workspace and decision",
        });
        this.#asks = meter.createCounter("galenaglade.load_requests", {
            description: "times a server's load was asked",
        });
        this.#storeCalls = meter.createCounter("galenaglade.store_calls", { description: "calls of the store by end" });
        this.#relayRequests = meter.createCounter("galenaglade.relay_requests", {
            description: "times another gateway was asked for changes of the store",
        });
    }

    onRequestEnded(route: string, outcome: string, durationMs: number): void {
        this.#requests.add(1, { route, outcome });
        this.#durations.record(durationMs / 1_000, { route, outcome });
    }

    onPlaced(service: string, waitedMs: number): void {
        this.#waits.record(waitedMs / 1_000, { service });
    }

    onSendEnded(service: string, purpose: string, end: string): void {
        this.#sends.add(1, { service, purpose, end });
    }

    onSendLost(service: string, state: string): void {
        this.#lostSends.add(1, { service, state });
    }

    onContentJudged(state: string): void {
        this.#contents.add(1, { state });
    }

    onServerLimit(service: string, change: string): void {
        this.#limits.add(1, { service, change });
    }

    onServerNotice(service: string, notice: string): void {
        this.#notices.add(1, { service, notice });
    }

    onLimitDecided(workspace: string, decision: string): void {
        this.#limitDecisions.add(1, { workspace, decision });
    }

    onAsked(end: "answered" | "failed"): void {
        this.#asks.add(1, { end });
    }

    onStoreCall(call: string, end: string): void {
        this.#storeCalls.add(1, { call, end });
    }

    onRelayRequest(end: string): void {
        this.#relayRequests.add(1, { end });
    }
}
