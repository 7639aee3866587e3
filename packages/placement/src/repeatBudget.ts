import { RendezvousRanks } from "@galenaglade/fleet-state";
import { carriedRepeatsShare, maxHedgeShare, refilledRepeatsShare, repeatRatioShare } from "./constants.js";

/** Repeats (retries and hedged sends) that the whole fleet may send for each service in one window. */
export interface RepeatAllowance {
    /** Repeats as a share of the requests. */
    readonly ratio: number;
    /** Fixed number of repeats on top of that share. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Why a request is sent once more: its earlier send failed, or is late. */
export type RepeatPurpose = "retry" | "hedge";

/** One gateway's budget for one service. */
export interface RepeatBudgetState {
    /** Callers' requests since the process started. */
    readonly requests: number;
    /** Repeats since the process started. */
    readonly repeats: number;
    /** Repeats that are still allowed now; may be fractional. */
    readonly remaining: number;
    /** Age of this process, in milliseconds; it knows of no repeats from before. */
    readonly sinceStartMs: number;
}

interface ServiceBudget {
    requests: number;
    repeats: number;
    /** Tokens for repeats of any purpose, and those that hedges may use of them. */
    tokens: number;
    hedgeTokens: number;
    refilledAtMs: number;
}

/**
 * This gateway's share of the fleet's allowance for repeats. Without a limit, a failing service would get each request
 * several times and stay overloaded after the original cause is gone.
 *
 * Each request of a caller adds a part of a token, and each repeat takes one. So the repeats of any window are at most
 * the tokens held at its beginning and the ratio of its requests, whichever gateways the requests come to. What all
 * gateways may hold is bounded by the fixed part of the allowance, and a process starts with none: neither a restart
 * nor callers that move to another gateway make repeats possible beyond the allowance.
 */
export class RepeatBudget {
    readonly #allowance: RepeatAllowance;
    readonly #startedAtMs: number;
    readonly #ranks: RendezvousRanks;
    readonly #services = new Map<string, ServiceBudget>();

    /**
     * @param allowance - of the whole fleet
     * @param name - name of this gateway, as registered
     * @param startedAtMs - start of this process
     */
    constructor(allowance: RepeatAllowance, name: string, startedAtMs: number) {
        this.#allowance = allowance;
        this.#startedAtMs = startedAtMs;
        this.#ranks = new RendezvousRanks(name);
    }

    /** Records the arrival of a caller's request for the service. */
    onRequest(service: string): void {
        const budget = this.#budgetOf(service);
        const added = this.#allowance.ratio * repeatRatioShare;
        budget.requests++;
        budget.tokens += added;
        budget.hedgeTokens += added * maxHedgeShare;
    }

    /** @returns the services that requests were recorded for */
    services(): readonly string[] {
        return [...this.#services.keys()];
    }

    /** @returns the state of a service's budget, for logs and metrics */
    describe(service: string, gateways: readonly string[], nowMs: number): RepeatBudgetState {
        const { requests, repeats, tokens } = this.#refill(service, gateways, nowMs);
        return { requests, repeats, remaining: tokens, sinceStartMs: nowMs - this.#startedAtMs };
    }

    /** @returns whether {@link take} would allow a repeat now */
    isAvailable(service: string, purpose: RepeatPurpose, gateways: readonly string[], nowMs: number): boolean {
        const { tokens, hedgeTokens } = this.#refill(service, gateways, nowMs);
        return tokens >= 1 && (purpose === "retry" || hedgeTokens >= 1);
    }

    /**
     * Takes one repeat from the budget.
     *
     * @param service - name of the service
     * @param purpose - hedges leave a share of the allowance to retries
     * @param gateways - names of the gateways that share the allowance; the same array as long as they don't change
     * @param nowMs - current time
     * @returns whether the repeat may be sent; if so, it has been counted
     */
    take(service: string, purpose: RepeatPurpose, gateways: readonly string[], nowMs: number): boolean {
        if (!this.isAvailable(service, purpose, gateways, nowMs)) {
            return false;
        }
        const budget = this.#budgetOf(service);
        budget.repeats++;
        budget.tokens--;
        if (purpose === "hedge") {
            budget.hedgeTokens--;
        }
        return true;
    }

    /** Adds this gateway's part of what is granted without requests, and discards what it may not carry over. */
    #refill(service: string, gateways: readonly string[], nowMs: number): ServiceBudget {
        const { slack, windowMs } = this.#allowance;
        const budget = this.#budgetOf(service);
        const elapsedMs = nowMs - budget.refilledAtMs;
        const added = slack * refilledRepeatsShare * elapsedMs / windowMs / Math.max(1, gateways.length);
        const capacity = this.#capacity(service, gateways);
        budget.refilledAtMs = nowMs;
        budget.tokens = Math.min(capacity, budget.tokens + added);
        const hedgeCapacity = Math.min(capacity, Math.max(1, capacity * maxHedgeShare));
        budget.hedgeTokens = Math.min(hedgeCapacity, budget.hedgeTokens + added * maxHedgeShare);
        return budget;
    }

    /** @returns the number of tokens that this gateway may hold */
    #capacity(service: string, gateways: readonly string[]): number {
        // No registration has been read yet, not even this gateway's own.
        if (gateways.length === 0) {
            return 1;
        }
        const total = this.#allowance.slack * carriedRepeatsShare;
        const share = total / gateways.length;
        if (share >= 1) {
            return share;
        }
        // A part of a token allows no repeat, so that only some of the gateways hold a whole one.
        this.#ranks.update(gateways);
        return this.#ranks.rankOf(service) < Math.floor(total) ? 1 : 0;
    }

    #budgetOf(service: string): ServiceBudget {
        const budget = this.#services.get(service)
            ?? { requests: 0, repeats: 0, tokens: 0, hedgeTokens: 0, refilledAtMs: this.#startedAtMs };
        this.#services.set(service, budget);
        return budget;
    }
}
