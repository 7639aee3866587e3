import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { chooseProbeCount } from "./probeCount.js";
import { choosePlacement, type PlacementDecision } from "./choosePlacement.js";
import { minProbeChance, maxProbePauseMs, minProbePauseMs } from "./constants.js";
import { type FleetSnapshot, type PlacementState, type ServerCandidate } from "./placementState.js";
import { type PlacementPolicy } from "./policy.js";
import { type ProbePurpose } from "./probeBudget.js";
import { isGood, type ServerScore } from "./serverScore.js";

/** The request for which a server is searched. */
export interface SearchInput {
    readonly rules: ServiceRules;
    readonly objectiveMs: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly arrivedAtMs: number;
    /** When its caller or its route gives up. */
    readonly cutoffMs: number;
    /** Servers that the request was sent to before. */
    readonly triedServers: ReadonlySet<string>;
    /** Whether to search only once, and to accept only a good server. */
    readonly onlyGood: boolean;
}

/** Why no server was found. */
export type NoServerReason = "noServer" | "allFull" | "tooLate" | "noOffer" | "noneGood" | "limited" | "resting";

/** Next step of a search. */
export type SearchStep =
    /** Probe these servers, and continue once one of them is good or all have responded. */
    | { readonly type: "ask"; readonly servers: readonly RegisteredServer[]; readonly round: number; }
    | {
        readonly type: "send";
        readonly server: RegisteredServer;
        readonly score: ServerScore;
        readonly reason: string;
        /** Age of the server's status in milliseconds. */
        readonly ageMs: number;
    }
    /** Search again after a pause. */
    | { readonly type: "pause"; readonly forMs: number; }
    | { readonly type: "refuse"; readonly reason: NoServerReason; };

/**
 * Searches for a server for one request, step by step. Cached statuses from other requests are used first: a server
 * that was good a moment ago is chosen without a probe. Otherwise the smallest number of servers is probed that
 * contains a good one with the target probability, and no server whose status wouldn't change the choice.
 */
export class ServerSearch {
    readonly #state: PlacementState;
    readonly #input: SearchInput;
    /** When servers were probed in this round. */
    readonly #probedAtMs = new Map<string, number>();
    #round = 0;

    constructor(state: PlacementState, input: SearchInput) {
        this.#state = state;
        this.#input = input;
    }

    /** @param snapshot - current view of the fleet @returns what to do next */
    step(snapshot: FleetSnapshot): SearchStep {
        const eligible = this.#findCandidates(snapshot.usable);
        if (eligible.length === 0) {
            return { type: "refuse", reason: snapshot.restingForMs === undefined ? "noServer" : "resting" };
        }
        const candidates = this.#state.evaluate(this.#input.rules, eligible, this.#input, snapshot);
        if (this.#areAllLimited(candidates, snapshot)) {
            return { type: "refuse", reason: "limited" };
        }
        const unprobed = this.#findUnprobed(candidates);
        if (unprobed.length > 0) {
            const decision = this.#decide(candidates.filter(candidate => this.#isUsableUnprobed(candidate, snapshot)), {
                hasUnprobed: true,
            }, snapshot);
            if (decision.type !== "widen") {
                return this.#toStep(decision, candidates, snapshot);
            }
            const servers = this.#takeProbes(unprobed, snapshot);
            if (servers.length > 0) {
                return { type: "ask", servers, round: this.#round };
            }
        }
        const selectable = candidates.filter(candidate => this.#isUsable(candidate, snapshot));
        const mayProbeLater = unprobed.length > 0;
        return this.#toStep(
            this.#decide(selectable, { hasUnprobed: false, mayProbeLater }, snapshot),
            candidates,
            snapshot,
        );
    }

    /** Excludes servers that were tried before, unless no others are left. */
    #findCandidates(usable: readonly RegisteredServer[]): readonly RegisteredServer[] {
        const others = usable.filter(({ id }) => !this.#input.triedServers.has(id));
        return others.length > 0 ? others : usable;
    }

    /** Whether advertised limits block all servers for longer than the request may wait. */
    #areAllLimited(candidates: readonly ServerCandidate[], { nowMs }: FleetSnapshot): boolean {
        const { arrivedAtMs, objectiveMs } = this.#input;
        const waitsUntilMs = arrivedAtMs + objectiveMs * this.#policy.waitShare;
        return candidates.every(({ limitedForMs }) => limitedForMs > 0 && nowMs + limitedForMs > waitsUntilMs);
    }

    /**
     * Unprobed servers that are likely enough to be good; if nothing is known of any server, all that may be sent
     * requests.
     */
    #findUnprobed(candidates: readonly ServerCandidate[]): readonly ServerCandidate[] {
        const unprobed = candidates.filter(({ server }) => !this.#probedAtMs.has(server.id));
        const promising = unprobed.filter(({ goodChance }) => goodChance >= minProbeChance);
        const isNothingKnown = candidates.every(({ ageMs }) => ageMs > this.#policy.rememberedMs);
        return promising.length === 0 && isNothingKnown ? unprobed.filter(({ admitted }) => admitted) : promising;
    }

    #isUsableUnprobed(candidate: ServerCandidate, snapshot: FleetSnapshot): boolean {
        const { score, ageMs, goodChance } = candidate;
        const { sureMs, sureChance } = this.#policy;
        if (score === undefined) {
            return false;
        }
        return this.#hasAnsweredProbe(candidate, snapshot)
            || (ageMs <= sureMs && goodChance >= sureChance && isGood(score, this.#policy)
                && this.#wasProbedRecently(candidate));
    }

    #isUsable(candidate: ServerCandidate, snapshot: FleetSnapshot): boolean {
        const { lastResortMs, rememberedMs } = this.#policy;
        const maxAgeMs = this.#isLastSearch(snapshot.nowMs) ? lastResortMs : rememberedMs;
        return this.#hasAnsweredProbe(candidate, snapshot)
            || (candidate.ageMs <= maxAgeMs && this.#wasProbedRecently(candidate));
    }

    #hasAnsweredProbe({ server, probedAgoMs }: ServerCandidate, { nowMs }: FleetSnapshot): boolean {
        const probedAtMs = this.#probedAtMs.get(server.id);
        return probedAtMs !== undefined && nowMs - probedAgoMs >= probedAtMs;
    }

    /** Whether the time for which the request waits for a better server is over. */
    #isLastSearch(nowMs: number): boolean {
        const { arrivedAtMs, objectiveMs } = this.#input;
        return nowMs - arrivedAtMs >= objectiveMs * this.#policy.waitShare;
    }

    #takeProbes(unprobed: readonly ServerCandidate[], snapshot: FleetSnapshot): readonly RegisteredServer[] {
        const ordered = this.#state.orderForProbing(unprobed, snapshot);
        const probeCount = chooseProbeCount(ordered.map(({ goodChance }) => goodChance), this.#policy);
        const servers = this.#state.takeProbes(ordered, this.#resolvePurpose(snapshot.nowMs), probeCount, snapshot);
        for (const { id } of servers) {
            this.#probedAtMs.set(id, snapshot.nowMs);
        }
        return servers;
    }

    /**
     * The first probes of a request take precedence over further probes of waiting requests: two probes for each
     * request lead to better servers overall than many probes for a few. The probes of a last search count as first
     * probes.
     */
    #resolvePurpose(nowMs: number): ProbePurpose {
        if (this.#input.onlyGood || this.#probedAtMs.size > 0) {
            return "waiting";
        }
        return this.#round === 0 || this.#isLastSearch(nowMs) ? "arrival" : "waiting";
    }

    #decide(
        selectable: readonly ServerCandidate[],
        { hasUnprobed, mayProbeLater = false }: { readonly hasUnprobed: boolean; readonly mayProbeLater?: boolean; },
        { nowMs }: FleetSnapshot,
    ): PlacementDecision {
        const { rules, arrivedAtMs, objectiveMs, cutoffMs } = this.#input;
        const scores = selectable.flatMap(({ score, admitted }) => score !== undefined && admitted ? [score] : []);
        const healthy = scores.filter(({ status }) => status.healthy);
        // All health checks may fail wrongly at once; if no server is healthy, an unhealthy one is better than none.
        return choosePlacement({
            scores: healthy.length === 0 && !hasUnprobed ? scores : healthy,
            hasUnprobed,
            mayProbeLater,
            waitedMs: nowMs - arrivedAtMs,
            objectiveMs,
            remainingMs: cutoffMs - nowMs,
            typicalLatencyMs: this.#state.typicalLatency.of(rules.name, objectiveMs),
        }, this.#policy);
    }

    #toStep(decision: PlacementDecision, candidates: readonly ServerCandidate[], snapshot: FleetSnapshot): SearchStep {
        switch (decision.type) {
            case "refuse":
                return decision;
            case "send":
                return this.#input.onlyGood && decision.reason !== "good"
                    ? { type: "refuse", reason: "noneGood" }
                    : this.#send(decision, candidates, snapshot);
            default:
                return this.#pause();
        }
    }

    #send(
        { score, reason }: PlacementDecision & { readonly type: "send"; },
        candidates: readonly ServerCandidate[],
        snapshot: FleetSnapshot,
    ): SearchStep {
        const chosen = candidates.find(({ server }) => server.id === score.status.serverId);
        if (chosen === undefined) {
            throw new Error("the chosen server is not among the candidates");
        }
        this.#state.onSend(this.#input.rules, score, snapshot);
        return { type: "send", server: chosen.server, score, reason, ageMs: chosen.ageMs };
    }

    #pause(): SearchStep {
        if (this.#input.onlyGood) {
            return { type: "refuse", reason: "noneGood" };
        }
        this.#round++;
        this.#probedAtMs.clear();
        return {
            type: "pause",
            forMs: minProbePauseMs + (maxProbePauseMs - minProbePauseMs) * this.#state.random.next(),
        };
    }

    /**
     * A server may become cold at any moment, and only probe responses report it. If the load in its responses to
     * requests were enough, the server would keep getting its usual load from every gateway. Requiring a recent probe
     * bounds that time.
     */
    #wasProbedRecently({ probedAgoMs }: ServerCandidate): boolean {
        return probedAgoMs <= this.#policy.lastResortMs;
    }

    get #policy(): PlacementPolicy {
        return this.#state.policy;
    }
}
