import { type LimiterSnapshot } from "@galenaglade/rate-limit";
import { type RepeatBudgetState } from "@galenaglade/placement";
import { type Metrics } from "@galenaglade/telemetry";
import { readdir } from "node:fs/promises";

/** Workspaces with a label value of their own; all others share one, which bounds the memory. */
const maxNamedWorkspaces = 200;
const otherWorkspaces = "other";
const descriptorFolder = "/proc/self/fd";

/** Counters and histograms of an edge process. */
export class EdgeMetrics {
    readonly #requests;
    readonly #durations;
    readonly #undelivered;
    readonly #waits;
    readonly #sends;
    readonly #lostSends;
    readonly #incompleteResponses;
    readonly #unconfirmedResponses;
    readonly #repeats;
    readonly #contentStates;
    readonly #limits;
    readonly #notices;
    readonly #meter;
    readonly #namedWorkspaces = new Set<string>();
    readonly #workspaceRequests;
    readonly #limitDecisions;
    readonly #loadProbes;
    readonly #reachability;
    readonly #handovers;
    readonly #handoversReceived;
    readonly #storeCalls;
    readonly #relayRequests;
    readonly #storeRestores;
    readonly #disconnects;
    readonly #disconnectEnds;
    readonly #sendsAfterDisconnect;
    readonly #connectionResets;
    readonly #memoryReclaimed;

    constructor({ meter }: Metrics) {
        this.#meter = meter;
        this.#requests = meter.createCounter("galenaglade.requests", { description: "requests by route and outcome" });
        this.#durations = meter.createHistogram("http.server.request.duration", { unit: "s" });
        this.#undelivered = meter.createCounter("galenaglade.responses_undelivered", {
            description: "responses whose connection closed before they were sent, by state and by who closed it",
        });
        this.#disconnects = meter.createCounter("galenaglade.caller_disconnects", {
            description: "requests whose caller left before the response, by what they waited for and how it left",
        });
        this.#disconnectEnds = meter.createHistogram("http.disconnect.request.duration", {
            unit: "s",
            description: "time from a caller's leaving until the last send on its behalf had ended",
        });
        this.#sendsAfterDisconnect = meter.createCounter("galenaglade.sends_after_disconnect", {
            description: "sends that were written after their caller had left",
        });
        this.#memoryReclaimed = meter.createCounter("galenaglade.caller_memory_reclaimed", {
            description: "callers' connections that were made to give their memory back, by its use and how",
        });
        this.#connectionResets = meter.createCounter("galenaglade.caller_connection_resets", {
            description: "callers' connections that this host has reset, by reason",
        });
        this.#waits = meter.createHistogram("http.placement.request.duration", {
            unit: "s",
            description: "time until a backend server was chosen",
        });
        this.#sends = meter.createCounter("galenaglade.sends", { description: "sends by service, purpose and end" });
        this.#lostSends = meter.createCounter("galenaglade.lost_sends", {
            description: "sends whose connection was lost, by service and by what became of the server",
        });
        this.#incompleteResponses = meter.createCounter("galenaglade.responses_incomplete", {
            description: "responses that were given up as not whole, by service, framing and how they ended",
        });
        this.#unconfirmedResponses = meter.createCounter("galenaglade.responses_unconfirmed", {
            description:
                "responses that ended with their connection and were passed on, so that nobody knows whether they are "
                + "whole, by service and whether they were buffered or streamed",
        });
        this.#repeats = meter.createCounter("galenaglade.repeats", {
            description:
                "repeats of requests, by service, purpose and whether the retry budget allowed them; not counted "
                + "ones follow sends that reached no server",
        });
        this.#contentStates = meter.createCounter("galenaglade.contents_judged", {
            description: "changes of what is believed of requests under which servers ended, by the new belief",
        });
        this.#limits = meter.createCounter("galenaglade.server_limits", {
            description: "limits that servers named, changed or ended, by service and change",
        });
        this.#notices = meter.createCounter("galenaglade.server_notices", {
            description: "answers in which servers ask for rest, say that they leave, or say something unknown",
        });
        this.#workspaceRequests = meter.createCounter("galenaglade.workspace_requests", {
            description: "requests by workspace and outcome: in time, late, or why they were refused or failed",
        });
        this.#limitDecisions = meter.createCounter("galenaglade.workspace_limit_decisions", {
            description: "requests of limited workspaces, by workspace and decision",
        });
        this.#loadProbes = meter.createCounter("galenaglade.load_requests", {
            description: "times a server's load was asked, by end",
        });
        this.#reachability = meter.createCounter("galenaglade.reach_changes", {
            description: "changes of whether this host reaches a service, by service and new state",
        });
        this.#handovers = meter.createCounter("galenaglade.handovers", {
            description: "requests handed to other gateways, by service and end",
        });
        this.#handoversReceived = meter.createCounter("galenaglade.handovers_taken", {
            description: "requests of other gateways, by outcome",
        });
        this.#storeCalls = meter.createCounter("galenaglade.store_calls", { description: "calls of the store by end" });
        this.#storeRestores = meter.createCounter("galenaglade.store_restored", {
            description: "times the store was found to have come back from an older copy",
        });
        this.#relayRequests = meter.createCounter("galenaglade.relay_requests", {
            description: "times another gateway was asked for changes of the store",
        });
    }

    onRequestEnded(route: string, outcome: string, durationMs: number): void {
        this.#requests.add(1, { route, outcome });
        this.#durations.record(durationMs / 1_000, { route, outcome });
    }

    onResponseUndelivered(state: string, closedBy: string): void {
        this.#undelivered.add(1, { state, closedBy });
    }

    onCallerLeft(stage: string, cause: string): void {
        this.#disconnects.add(1, { stage, cause });
    }

    onCallerConnectionReset(reason: string): void {
        this.#connectionResets.add(1, { reason });
    }

    onCallerMemoryReclaimed(use: string, action: string): void {
        this.#memoryReclaimed.add(1, { use, action });
    }

    /** @param isCancelled - whether the sends were cancelled; those of non-idempotent requests go on */
    onDisconnectSendsEnded(tookMs: number, isCancelled: boolean): void {
        this.#disconnectEnds.record(tookMs / 1_000, { sends: isCancelled ? "cancelled" : "completed" });
    }

    onSendAfterDisconnect(service: string): void {
        this.#sendsAfterDisconnect.add(1, { service });
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

    /** @param end - why the response counts as not whole */
    onIncompleteResponse(service: string, framing: string, end: string): void {
        this.#incompleteResponses.add(1, { service, framing, end });
    }

    /** @param passedOn - `buffered` or `streamed` */
    onUnconfirmedResponse(service: string, passedOn: string): void {
        this.#unconfirmedResponses.add(1, { service, passedOn });
    }

    /** @param decision - `sent`, `refused` or `notCounted` */
    onRepeat(service: string, purpose: string, decision: string): void {
        this.#repeats.add(1, { service, purpose, decision });
    }

    /** @param count - returns the number of callers' connections, and how many of them wait until their callers close */
    observeCallerConnections(count: () => { readonly open: number; readonly closing: number; }): void {
        const connections = this.#meter.createObservableGauge("galenaglade.caller_connections", {
            description: "callers' connections: open, and closed for writing while their callers still send",
        });
        connections.addCallback(result => {
            const { open, closing } = count();
            result.observe(open - closing, { state: "open" });
            result.observe(closing, { state: "closing" });
        });
    }

    /** @param heldBytes - returns the memory that callers make the process hold, in bytes */
    observeCallerMemory(heldBytes: () => number): void {
        const held = this.#meter.createObservableGauge("galenaglade.caller_memory", {
            unit: "By",
            description: "memory that callers make the process hold: bodies, requests sent ahead, unread responses",
        });
        held.addCallback(result => result.observe(heldBytes()));
    }

    /** Shows how many descriptors the process holds, nearly all of them sockets, where the operating system tells it. */
    observeDescriptors(): void {
        const descriptors = this.#meter.createObservableGauge("galenaglade.open_descriptors", {
            description: "descriptors that the process holds: sockets of all kinds, and a few files",
        });
        descriptors.addCallback(async result => {
            const open = await readdir(descriptorFolder).catch(() => undefined);
            if (open !== undefined) {
                result.observe(open.length);
            }
        });
    }

    /** @param describe - returns the state of each service's retry budget on this gateway */
    observeRepeats(describe: () => readonly ({ readonly service: string; } & RepeatBudgetState)[]): void {
        const remaining = this.#meter.createObservableGauge("galenaglade.retry_budget_left", {
            description: "repeats that this gateway may send at once, by service",
        });
        const age = this.#meter.createObservableGauge("galenaglade.retry_budget_age", {
            unit: "s",
            description: "time since this gateway began to count requests and repeats",
        });
        this.#meter.addBatchObservableCallback(result => {
            for (const { service, ...state } of describe()) {
                result.observe(remaining, state.remaining, { service });
                result.observe(age, state.sinceStartMs / 1_000, { service });
            }
        }, [remaining, age]);
    }

    onContentStateChanged(state: string): void {
        this.#contentStates.add(1, { state });
    }

    onServerLimit(service: string, change: string): void {
        this.#limits.add(1, { service, change });
    }

    onServerNotice(service: string, notice: string): void {
        this.#notices.add(1, { service, notice });
    }

    onWorkspaceRequest(workspace: string, outcome: string): void {
        this.#workspaceRequests.add(1, { workspace: this.#label(workspace), outcome });
    }

    onLimitDecided(workspace: string, decision: string): void {
        this.#limitDecisions.add(1, { workspace: this.#label(workspace), decision });
    }

    /** @param describe - returns this gateway's state of the workspaces' limits */
    observeLimits(describe: () => LimiterSnapshot): void {
        const shares = this.#meter.createObservableGauge("galenaglade.limit_shares_held", {
            description: "part of each limit that other gateways have delegated to this one, by group of workspaces",
        });
        const levels = this.#meter.createObservableGauge("galenaglade.limit_tokens", {
            description: "requests that a workspace may still make at once, at the gateway that allocates them",
        });
        this.#meter.addBatchObservableCallback(result => {
            const { groups, workspaces } = describe();
            for (const { group, sharesHeld } of groups) {
                result.observe(shares, sharesHeld, { group });
            }
            for (const { workspace, level } of workspaces) {
                result.observe(levels, level, { workspace: this.#label(workspace) });
            }
        }, [shares, levels]);
    }

    #label(workspace: string): string {
        if (this.#namedWorkspaces.size < maxNamedWorkspaces) {
            this.#namedWorkspaces.add(workspace);
        }
        return this.#namedWorkspaces.has(workspace) ? workspace : otherWorkspaces;
    }

    /** @param end - `told`, or why the load probe failed */
    onLoadProbed(end: string): void {
        this.#loadProbes.add(1, { end });
    }

    onReachabilityChanged(service: string, state: string): void {
        this.#reachability.add(1, { service, state });
    }

    onHandedOver(service: string, end: string): void {
        this.#handovers.add(1, { service, end });
    }

    onHandoverReceived(outcome: string): void {
        this.#handoversReceived.add(1, { outcome });
    }

    onStoreCall(call: string, end: string): void {
        this.#storeCalls.add(1, { call, end });
    }

    onStoreRestored(): void {
        this.#storeRestores.add(1);
    }

    onRelayRequest(end: string): void {
        this.#relayRequests.add(1, { end });
    }
}
