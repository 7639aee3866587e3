import { createFailure, type Failure } from "@galenaglade/errors";
import { drawRetryAfterSeconds, type SendEnd, type TypicalLatency } from "@galenaglade/placement";
import { type KeyChange } from "@galenaglade/workspaces";
import { type Decision } from "@galenaglade/rate-limit";
import { type RandomSource } from "@galenaglade/routing";
import { type BufferedResponse } from "../backends/sendRequest.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type PlacementFailure } from "./placer.js";

const oneSecondMs = 1_000;

/** Final result of a request for its caller. */
export type ExchangeResult =
    | { readonly type: "answered"; readonly response: BufferedResponse; }
    /** The response was streamed to the caller, completely or truncated. */
    | { readonly type: "streamed"; readonly complete: boolean; }
    | { readonly type: "failed"; readonly failure: Failure; };

/** Builds the failures that this gateway returns itself when it has no server's response, each with its Retry-After. */
export class LocalReplies {
    readonly #request: EdgeRequest;
    readonly #typicalLatency: TypicalLatency;
    readonly #random: RandomSource;

    constructor(request: EdgeRequest, typicalLatency: TypicalLatency, random: RandomSource) {
        this.#request = request;
        this.#typicalLatency = typicalLatency;
        this.#random = random;
    }

    /**
     * No server was found.
     *
     * @param backoffRemainingMs - time until the first server's back-off ends, if all servers back off, in milliseconds
     */
    placementFailed(reason: Exclude<PlacementFailure, "abandoned">, backoffRemainingMs = 0): ExchangeResult {
        if (reason === "stopping") {
            return this.stopping();
        }
        if (reason === "resting") {
            return this.#reject("overloaded", reason, "resting", backoffRemainingMs);
        }
        return reason === "noServer" || reason === "noOffer" || reason === "unreached"
            ? this.#reject("noBackendServer", reason, "noServer")
            : this.#reject("overloaded", reason, "full");
    }

    /** This gateway is stopping. Other gateways can serve the request at once. */
    stopping(): ExchangeResult {
        return { type: "failed", failure: createStoppingFailure(this.#random) };
    }

    /**
     * Requests with this content have crashed servers.
     *
     * @param retryAfterMs - time until the next request with this content may be sent, in milliseconds
     */
    quarantined(retryAfterMs: number): ExchangeResult {
        const retryAfterSeconds = Math.ceil(retryAfterMs / oneSecondMs);
        const failure = createFailure("queryOfDeath", "requests with this content ended their servers", {
            retryAfterSeconds,
        });
        return { type: "failed", failure };
    }

    /** The caller's key was revoked or moved to another workspace meanwhile. With a moved key the caller may retry. */
    keyChanged(change: KeyChange): ExchangeResult {
        const retryAfterSeconds = drawRetryAfterSeconds("turnedAway", 0, this.#random);
        const failure = change === "revoked"
            ? createFailure("unauthenticated", "the request's key was revoked")
            : createFailure("notFresh", "the request's key belongs to another workspace now", { retryAfterSeconds });
        return { type: "failed", failure };
    }

    /** The rate limit of the caller's workspace rejects the request. */
    rateLimited({ type, retryAfterMs }: Exclude<Decision, { readonly type: "admitted"; }>): ExchangeResult {
        const retryAfterSeconds = Math.ceil(retryAfterMs) / oneSecondMs;
        const failure = type === "overLimit"
            ? createFailure("workspaceOverLimit", "the workspace is over its limit", { retryAfterSeconds })
            : createFailure("notFresh", "no host that keeps the workspace's limit is reached", { retryAfterSeconds });
        return { type: "failed", failure };
    }

    /** All sends have failed. */
    allSendsFailed(ends: readonly SendEnd[], fallback: BufferedResponse | undefined): ExchangeResult {
        if (fallback !== undefined) {
            return { type: "answered", response: fallback };
        }
        if (ends.every(end => end.type === "notRun")) {
            return this.#reject("backendShed", describeSendEnds(ends), "turnedAway");
        }
        return { type: "failed", failure: createFailure("connectionLost", describeSendEnds(ends)) };
    }

    /**
     * The response is due, or the caller has disconnected.
     *
     * @param inFlight - number of sends that have not ended
     */
    timedOut(ends: readonly SendEnd[], inFlight: number, fallback: BufferedResponse | undefined): ExchangeResult {
        if (fallback !== undefined) {
            return { type: "answered", response: fallback };
        }
        if (inFlight === 0 && ends.every(end => end.type === "notRun")) {
            return this.#reject("overloaded", "no server could be found in time", "full");
        }
        return { type: "failed", failure: createFailure("backendTimeout", describeSendEnds(ends)) };
    }

    #reject(
        kind: "noBackendServer" | "overloaded" | "backendShed",
        detail: string,
        cause: Parameters<typeof drawRetryAfterSeconds>[0],
        notBeforeMs = 0,
    ): ExchangeResult {
        const { rules, route } = this.#request;
        const typicalLatencyMs = this.#typicalLatency.of(rules.name, route.objectiveMs);
        const delaySeconds = drawRetryAfterSeconds(cause, typicalLatencyMs, this.#random);
        const retryAfterSeconds = Math.ceil(notBeforeMs + delaySeconds * oneSecondMs) / oneSecondMs;
        return { type: "failed", failure: createFailure(kind, detail, { retryAfterSeconds }) };
    }
}

/** @returns the failure of a request that a stopping gateway refuses */
export function createStoppingFailure(random: RandomSource): Failure {
    const retryAfterSeconds = drawRetryAfterSeconds("turnedAway", 0, random);
    return createFailure("stopping", "this host is stopping", { retryAfterSeconds });
}

/** @returns a short label of how a send ended, for logs and metrics */
export function describeSendEnd(end: SendEnd): string {
    switch (end.type) {
        case "answered":
            return `answered ${end.status}`;
        case "abandoned":
            return "abandoned";
        default:
            return end.reason;
    }
}

function describeSendEnds(ends: readonly SendEnd[]): string {
    return ends.length === 0 ? "no answer" : ends.map(describeSendEnd).join(", ");
}
