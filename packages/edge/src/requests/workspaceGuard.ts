import { type Decision, type Token } from "@galenaglade/rate-limit";
import { type SendEnd } from "@galenaglade/placement";
import { findKeyChange, type KeyChange } from "@galenaglade/workspaces";
import { type EdgeRequest } from "./edgeRequest.js";
import { type ExchangeDeps } from "./exchangeDeps.js";

/** Time for which a request waits where the allocator of its workspace was lost, as a share of its objective and at most, in milliseconds. */
const heldShare = 0.5;
const mostHeldMs = 1_500;

/** Keeps one request to what its workspace may do: a key that is still held, and a limit that holds for all gateways together. */
export class WorkspaceGuard {
    readonly #parts: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #signal: AbortSignal;
    #token: Token | undefined;
    #plentiful = true;

    constructor(parts: ExchangeDeps, request: EdgeRequest, signal: AbortSignal) {
        this.#parts = parts;
        this.#request = request;
        this.#signal = signal;
    }

    /** What became of the caller's key since the request arrived, where that keeps it from being sent. */
    get keyChange(): KeyChange | undefined {
        return findKeyChange(this.#request.admission, this.#parts.view.configurationInForce?.workspaces);
    }

    isKeyChanged(): boolean {
        return this.keyChange !== undefined;
    }

    /** Whether the workspace has room for runs beyond the first: a hedge, or a retry of what may have run. */
    get allowsExtraRuns(): boolean {
        return this.#plentiful;
    }

    /** @returns why the request can't be admitted, `undefined` where it is, "abandoned" where nobody waits any more */
    async admit(): Promise<Exclude<Decision, { readonly type: "admitted"; }> | "abandoned" | undefined> {
        const { admission, version, requestId } = this.#request;
        const limit = admission.type === "known" ? admission.workspace.limit : undefined;
        if (admission.type !== "known" || limit === undefined) {
            return undefined;
        }
        const { limits, log, metrics } = this.#parts;
        const workspace = admission.workspace.name;
        const holdMs = Math.min(mostHeldMs, this.#request.route.objectiveMs * heldShare);
        const decision = await limits.admit(
            { workspace, ...limit, configVersion: version, decisionTimeoutMs: holdMs },
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
        this.#plentiful = decision.plentiful;
        return undefined;
    }

    /** The request has ended: what never ran isn't counted against the workspace. */
    onEnded(ends: readonly SendEnd[], underWay: number): void {
        if (this.#token !== undefined && underWay === 0 && ends.every(({ type }) => type === "notRun")) {
            this.#parts.limits.giveBack(this.#token);
        }
        this.#token = undefined;
    }
}
