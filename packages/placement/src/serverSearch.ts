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
    readonly #board: PlacementState;
    readonly #input: SearchInput;
    /** When servers were probed in this round. */
    readonly #askedAtMs = new Map<string, number>();
    #round = 0;

    constructor(board: PlacementState, input: SearchInput) {
        this.#board = board;
        this.#input = input;
    }

    /** @param sight - current view of the fleet @returns what to do next */
    step(sight: FleetSnapshot): SearchStep {
        const candidates = this.#findCandidates(sight.usable);
        if (candidates.length === 0) {
            return { type: "refuse", reason: sight.restingForMs === undefined ? "noServer" : "resting" };
        }
        const rated = this.#board.evaluate(this.#input.rules, candidates, this.#input, sight);
        if (this.#areAllLimited(rated, sight)) {
            return { type: "refuse", reason: "limited" };
        }
        const unasked = this.#findUnasked(rated);
        if (unasked.length > 0) {
            const decision = this.#decide(rated.filter(each => this.#isSure(each, sight)), { hasUnasked: true }, sight);
            if (decision.type !== "widen") {
                return this.#act(decision, rated, sight);
            }
            const servers = this.#takeProbes(unasked, sight);
            if (servers.length > 0) {
                return { type: "ask", servers, round: this.#round };
            }
        }
        const known = rated.filter(each => this.#isKnown(each, sight));
        const mayAskLater = unasked.length > 0;
        return this.#act(this.#decide(known, { hasUnasked: false, mayAskLater }, sight), rated, sight);
    }

    /** Excludes servers that were tried before, unless no others are left. */
    #findCandidates(usable: readonly RegisteredServer[]): readonly RegisteredServer[] {
        const others = usable.filter(({ id }) => !this.#input.triedServers.has(id));
        return others.length > 0 ? others : usable;
    }

    /** Whether advertised limits block all servers for longer than the request may wait. */
    #areAllLimited(rated: readonly ServerCandidate[], { nowMs }: FleetSnapshot): boolean {
        const { arrivedAtMs, objectiveMs } = this.#input;
        const heldUntilMs = arrivedAtMs + objectiveMs * this.#policy.waitShare;
        return rated.every(({ limitedForMs }) => limitedForMs > 0 && nowMs + limitedForMs > heldUntilMs);
    }

    /**
     * Unprobed servers that are likely enough to be good; if nothing is known of any server, all that may be sent
     * requests.
     */
    #findUnasked(rated: readonly ServerCandidate[]): readonly ServerCandidate[] {
        const unasked = rated.filter(({ server }) => !this.#askedAtMs.has(server.id));
        const worthIt = unasked.filter(({ goodChance }) => goodChance >= minProbeChance);
        const knowsNone = rated.every(({ ageMs }) => ageMs > this.#policy.rememberedMs);
        return worthIt.length === 0 && knowsNone ? unasked.filter(({ admitted }) => admitted) : worthIt;
    }

    #isSure(rated: ServerCandidate, sight: FleetSnapshot): boolean {
        const { score, ageMs, goodChance } = rated;
        const { sureMs, sureChance } = this.#policy;
        if (score === undefined) {
            return false;
        }
        return this.#hasAnswered(rated, sight)
            || (ageMs <= sureMs && goodChance >= sureChance && isGood(score, this.#policy)
                && this.#isSurelyWarm(rated));
    }

    #isKnown(rated: ServerCandidate, sight: FleetSnapshot): boolean {
        const { lastResortMs, rememberedMs } = this.#policy;
        const oldestMs = this.#isLastLook(sight.nowMs) ? lastResortMs : rememberedMs;
        return this.#hasAnswered(rated, sight) || (rated.ageMs <= oldestMs && this.#isSurelyWarm(rated));
    }

    #hasAnswered({ server, probedAgoMs }: ServerCandidate, { nowMs }: FleetSnapshot): boolean {
        const askedAtMs = this.#askedAtMs.get(server.id);
        return askedAtMs !== undefined && nowMs - probedAgoMs >= askedAtMs;
    }

    /** Whether the time for which the request waits for a better server is over. */
    #isLastLook(nowMs: number): boolean {
        const { arrivedAtMs, objectiveMs } = this.#input;
        return nowMs - arrivedAtMs >= objectiveMs * this.#policy.waitShare;
    }

    #takeProbes(unasked: readonly ServerCandidate[], sight: FleetSnapshot): readonly RegisteredServer[] {
        const ordered = this.#board.orderForProbing(unasked, sight);
        const wanted = chooseProbeCount(ordered.map(({ goodChance }) => goodChance), this.#policy);
        const servers = this.#board.takeProbes(ordered, this.#resolvePurpose(sight.nowMs), wanted, sight);
        for (const { id } of servers) {
            this.#askedAtMs.set(id, sight.nowMs);
        }
        return servers;
    }

    /**
     * The first probes of a request take precedence over further probes of waiting requests: two probes for each
     * request lead to better servers overall than many probes for a few. The probes of a last search count as first
     * probes.
     */
    #resolvePurpose(nowMs: number): ProbePurpose {
        if (this.#input.onlyGood || this.#askedAtMs.size > 0) {
            return "waiting";
        }
        return this.#round === 0 || this.#isLastLook(nowMs) ? "arrival" : "waiting";
    }

    #decide(
        known: readonly ServerCandidate[],
        { hasUnasked, mayAskLater = false }: { readonly hasUnasked: boolean; readonly mayAskLater?: boolean; },
        { nowMs }: FleetSnapshot,
    ): PlacementDecision {
        const { rules, arrivedAtMs, objectiveMs, cutoffMs } = this.#input;
        const scores = known.flatMap(({ score, admitted }) => score !== undefined && admitted ? [score] : []);
        const healthy = scores.filter(({ status }) => status.healthy);
        // All health checks may fail wrongly at once; if no server is healthy, an unhealthy one is better than none.
        return choosePlacement({
            scores: healthy.length === 0 && !hasUnasked ? scores : healthy,
            hasUnprobed: hasUnasked,
            mayProbeLater: mayAskLater,
            waitedMs: nowMs - arrivedAtMs,
            objectiveMs,
            remainingMs: cutoffMs - nowMs,
            typicalLatencyMs: this.#board.typicalLatency.of(rules.name, objectiveMs),
        }, this.#policy);
    }

    #act(decision: PlacementDecision, rated: readonly ServerCandidate[], sight: FleetSnapshot): SearchStep {
        switch (decision.type) {
            case "refuse":
                return decision;
            case "send":
                return this.#input.onlyGood && decision.reason !== "good"
                    ? { type: "refuse", reason: "noneGood" }
                    : this.#send(decision, rated, sight);
            default:
                return this.#pause();
        }
    }

    #send(
        { score, reason }: PlacementDecision & { readonly type: "send"; },
        rated: readonly ServerCandidate[],
        sight: FleetSnapshot,
    ): SearchStep {
        const chosen = rated.find(({ server }) => server.id === score.status.serverId);
        if (chosen === undefined) {
            throw new Error("the chosen server is not among the candidates");
        }
        this.#board.onSend(this.#input.rules, score, sight);
        return { type: "send", server: chosen.server, score, reason, ageMs: chosen.ageMs };
    }

    #pause(): SearchStep {
        if (this.#input.onlyGood) {
            return { type: "refuse", reason: "noneGood" };
        }
        this.#round++;
        this.#askedAtMs.clear();
        return {
            type: "pause",
            forMs: minProbePauseMs + (maxProbePauseMs - minProbePauseMs) * this.#board.random.next(),
        };
    }

    /**
     * A server may become cold at any moment, and only probe responses report it. If the load in its responses to
     * requests were enough, the server would keep getting its usual load from every gateway. Requiring a recent probe
     * bounds that time.
     */
    #isSurelyWarm({ probedAgoMs }: ServerCandidate): boolean {
        return probedAgoMs <= this.#policy.lastResortMs;
    }

    get #policy(): PlacementPolicy {
        return this.#board.policy;
    }
}
