import { type Decision, type Token } from "@galenaglade/rate-limit";
import { type SendEnd } from "@galenaglade/placement";
import { findKeyChange, type KeyChange } from "@galenaglade/workspaces";
import { type EdgeRequest } from "./edgeRequest.js";
import { type ExchangeDeps } from "./exchangeDeps.js";

/** How long a request waits if the allocator of its workspace's limit is lost: share of its objective, and maximum. */
const maxHoldShare = 0.5;
const maxHoldMs = 1_500;

/** Enforces the workspace's rules for one request: a key that is still valid, and the rate limit over all gateways. */
export class WorkspaceGuard {
    readonly #deps: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #signal: AbortSignal;
    readonly #whenInputRead: () => Promise<void>;
    #token: Token | undefined;
    #allowsExtraRuns = true;

    constructor(deps: ExchangeDeps, request: EdgeRequest, signal: AbortSignal, whenInputRead: () => Promise<void>) {
        this.#deps = deps;
        this.#request = request;
        this.#signal = signal;
        this.#whenInputRead = whenInputRead;
    }

    /** Change of the caller's key since the request arrived that forbids sending it; `undefined` if there is none. */
    get keyChange(): KeyChange | undefined {
        return findKeyChange(this.#request.callerIdentity, this.#deps.view.configurationInForce?.workspaces);
    }

    isKeyChanged(): boolean {
        return this.keyChange !== undefined;
    }

    /** Whether the workspace's limit leaves room for a hedge, or for the retry of a send that may have run. */
    get allowsExtraRuns(): boolean {
        return this.#allowsExtraRuns;
    }

    /** @returns `undefined` if the request is admitted, the rejection if not, "abandoned" if the request was aborted */
    async admit(): Promise<Exclude<Decision, { readonly type: "admitted"; }> | "abandoned" | undefined> {
        const { callerIdentity, version, requestId } = this.#request;
        const limit = callerIdentity.type === "known" ? callerIdentity.workspace.limit : undefined;
        if (callerIdentity.type !== "known" || limit === undefined) {
            return undefined;
        }
        await this.#whenInputRead();
        if (this.#signal.aborted) {
            return "abandoned";
        }
        const { limits, log, metrics } = this.#deps;
        const workspace = callerIdentity.workspace.name;
        const decisionTimeoutMs = Math.min(maxHoldMs, this.#request.route.objectiveMs * maxHoldShare);
        const decision = await limits.admit(
            { workspace, ...limit, configVersion: version, decisionTimeoutMs },
            this.#signal,
        );
        if (decision === undefined) {
            return "abandoned";
        }
        metrics.onLimitDecided(workspace, decision.type);
        if (decision.type !== "admitted") {
            const { type, retryAfterMs } = decision;
            log.log("info", "limitRefused", { requestId, workspace, reason: type, ...limit, retryAfterMs });
            return decision;
        }
        this.#token = decision.token;
        this.#allowsExtraRuns = decision.plentiful;
        return undefined;
    }

    /** Returns the token of a request that has ended and ran nowhere. */
    onEnded(ends: readonly SendEnd[], inFlight: number): void {
        if (this.#token !== undefined && inFlight === 0 && ends.every(({ type }) => type === "notRun")) {
            this.#deps.limits.giveBack(this.#token);
        }
        this.#token = undefined;
    }
}
