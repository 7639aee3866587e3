import { createFailure, type Failure, isPromisedNotRun } from "@galenaglade/errors";
import { drawRetryAfterSeconds, type TypicalLatency } from "@galenaglade/placement";
import { type KeyChange } from "@galenaglade/workspaces";
import { type Decision } from "@galenaglade/rate-limit";
import { type RandomSource } from "@galenaglade/routing";
import { type BodyReport } from "../backends/responseBody.js";
import { type BufferedResponse } from "../backends/sendRequest.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type PlacementFailure } from "./placer.js";
import { type SendRecord } from "./sendRecord.js";

const oneSecondMs = 1_000;

/** Final result of a request for its caller. */
export type ExchangeResult =
    | { readonly type: "answered"; readonly response: BufferedResponse; }
    /** The response was streamed to the caller, completely or truncated. */
    | { readonly type: "streamed"; readonly complete: boolean; readonly body?: BodyReport | undefined; }
    | { readonly type: "failed"; readonly failure: Failure; };

/** What is known, besides its sends, about why a request wasn't served. */
export interface UnservedCauses {
    /** Change of the caller's key since the request arrived; `undefined` if there is none. */
    readonly keyChange: KeyChange | undefined;
    /** Whether this gateway is stopping and may not send the request any more. */
    readonly isStopping: boolean;
    /** Time for which requests with this content are kept from servers, in milliseconds. */
    readonly quarantinedForMs: number | undefined;
    /** Time until the first server's back-off ends, if all servers back off, in milliseconds. */
    readonly backoffRemainingMs: number | undefined;
    /** Failure that another gateway reported; later sends may have ended otherwise. */
    readonly handoverFailure: Failure | undefined;
    readonly wasHandedOver: boolean;
}

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

    /**
     * All sends have failed, or the last one can't be made again.
     *
     * @param sends - all sends of the request
     * @param fallback - server error or incomplete response to return rather than a failure of this gateway
     * @param causes - what else is known about why the request wasn't served
     */
    unserved(sends: SendRecord, fallback: BufferedResponse | undefined, causes: UnservedCauses): ExchangeResult {
        if (fallback !== undefined) {
            return { type: "answered", response: fallback };
        }
        const { handoverFailure } = causes;
        if (sends.hasNotRun) {
            return this.#notRun(sends, causes);
        }
        return {
            type: "failed",
            failure: handoverFailure === undefined || isPromisedNotRun(handoverFailure)
                ? createFailure("connectionLost", sends.describe())
                : handoverFailure,
        };
    }

    /**
     * The response is due, or the caller has disconnected.
     *
     * @param sends - all sends of the request
     * @param fallback - server error or incomplete response to return rather than a failure of this gateway
     */
    timedOut(sends: SendRecord, fallback: BufferedResponse | undefined): ExchangeResult {
        if (fallback !== undefined) {
            return { type: "answered", response: fallback };
        }
        if (sends.hasNotRun) {
            return this.#reject("overloaded", "no server could be found in time", "full");
        }
        return { type: "failed", failure: createFailure("backendTimeout", sends.describe()) };
    }

    /** A fault of this program has ended the handling of the request. */
    unexpected(sends: SendRecord): ExchangeResult {
        return sends.hasNotRun
            ? this.#reject("overloaded", "unexpected failure", "noServer")
            : { type: "failed", failure: createFailure("internal", "unexpected failure") };
    }

    #notRun(sends: SendRecord, causes: UnservedCauses): ExchangeResult {
        const { keyChange, isStopping, quarantinedForMs, backoffRemainingMs, handoverFailure, wasHandedOver } = causes;
        if (keyChange !== undefined) {
            return this.keyChanged(keyChange);
        }
        if (isStopping) {
            return this.stopping();
        }
        if (quarantinedForMs !== undefined) {
            return this.quarantined(quarantinedForMs);
        }
        if (backoffRemainingMs !== undefined) {
            return this.placementFailed("resting", backoffRemainingMs);
        }
        if (handoverFailure !== undefined && isPromisedNotRun(handoverFailure)) {
            return { type: "failed", failure: handoverFailure };
        }
        return wasHandedOver
            ? this.placementFailed("unreached")
            : this.#reject("backendShed", sends.describe(), "turnedAway");
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
