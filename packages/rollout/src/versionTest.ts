import {
    badExcessShare,
    badLogOddsThreshold,
    minBadShare,
    minRouteShare,
    minTrialSends,
    soundExcessShare,
    soundLogOddsThreshold,
    stableDecayPerUpdate,
    stablePriorSends,
} from "./constants.js";
import { type AnswerCounts, type RouteEvidence, sumTrialCounts } from "./evidence.js";

/** The verdict on a version, with the figures that it is based on. */
export interface VersionVerdict {
    readonly type: "open" | "sound" | "bad";
    /** The decisive route; empty if there is none. */
    readonly route: string;
    readonly logOdds: number;
    readonly trialSends: number;
    readonly trialBad: number;
    /** Share of bad responses assumed for the old version. */
    readonly stableShare: number;
}

/** Decides whether a new version is sound by comparing its responses with those of the old version. */
export abstract class VersionTest {
    /**
     * Evaluates all responses so far; may be called after each one.
     *
     * @param routes - cumulative counts since the start of the test; they never decrease, but routes and servers may
     * be added
     */
    abstract evaluate(routes: readonly RouteEvidence[]): VersionVerdict;
}

interface RouteState {
    stable: AnswerCounts;
    trial: AnswerCounts;
    stableSends: number;
    stableBad: number;
    /** Log odds that the version is bad rather than sound, over all responses. */
    logOdds: number;
    /** The same since the sum was last at zero or below; detects a fault that begins late. */
    recentLogOdds: number;
}

/**
 * Wald's sequential probability ratio test for each route, of the hypothesis "the share of bad responses exceeds the
 * old version's by `badExcessShare`" against "by `soundExcessShare` at most". A second sum that never falls below zero
 * (CUSUM) detects versions that turn bad later. The old version's share is measured over the same period, so a fault
 * that affects both versions counts against neither.
 *
 * By Wald's bounds, the probability that a bad version passes as sound is below e^soundLogOddsThreshold per route. The
 * second sum is evaluated again and again, so by chance alone a sound version whose excess equals `soundExcessShare`
 * is rejected once in about e^badLogOddsThreshold responses; usual versions have a lower excess and are rejected less
 * often.
 */
export class SequentialRatioTest extends VersionTest {
    readonly #routes = new Map<string, RouteState>();

    override evaluate(routes: readonly RouteEvidence[]): VersionVerdict {
        const verdicts = routes.map(evidence => this.#evaluateRoute(evidence));
        const bad = verdicts.find(({ type }) => type === "bad");
        if (bad !== undefined) {
            return bad;
        }
        const stableSends = routes.reduce((sum, { stable }) => sum + stable.sends, 0);
        const trialSends = verdicts.reduce((sum, verdict) => sum + verdict.trialSends, 0);
        const undecided = verdicts.find(({ type }, i) =>
            type === "open" && (routes[i]?.stable.sends ?? 0) >= stableSends * minRouteShare
        );
        const [first] = verdicts;
        if (first === undefined || undecided !== undefined || trialSends < minTrialSends) {
            return { ...(undecided ?? first ?? noEvidence), type: "open" };
        }
        return verdicts.find(({ type }) => type === "sound") ?? { ...first, type: "open" };
    }

    #evaluateRoute({ route, stable, trial }: RouteEvidence): VersionVerdict {
        const state = this.#routes.get(route) ?? createRouteState();
        this.#routes.set(route, state);
        const total = sumTrialCounts(trial);
        const added = subtract(stable, state.stable);
        state.stableSends = state.stableSends * (1 - stableDecayPerUpdate) + added.sends;
        state.stableBad = state.stableBad * (1 - stableDecayPerUpdate) + added.bad;
        const stableShare = resolveStableShare(state);
        const logOddsChange = computeLogOdds(subtract(total, state.trial), stableShare);
        state.logOdds += logOddsChange;
        state.recentLogOdds = Math.max(0, state.recentLogOdds + logOddsChange);
        state.stable = stable;
        state.trial = total;
        const isBad = state.recentLogOdds >= badLogOddsThreshold && isFaultOfVersion(trial);
        return {
            type: isBad ? "bad" : state.logOdds <= soundLogOddsThreshold ? "sound" : "open",
            route,
            logOdds: isBad ? state.recentLogOdds : state.logOdds,
            trialSends: total.sends,
            trialBad: total.bad,
            stableShare,
        };
    }
}

const noEvidence: VersionVerdict = Object.freeze({
    type: "open",
    route: "",
    logOdds: 0,
    trialSends: 0,
    trialBad: 0,
    stableShare: minBadShare,
});

function createRouteState(): RouteState {
    const none = { sends: 0, bad: 0 };
    return { stable: none, trial: none, stableSends: 0, stableBad: 0, logOdds: 0, recentLogOdds: 0 };
}

/** If totals decrease because the reports of a gateway were lost with it, its earlier responses are not subtracted. */
function subtract(now: AnswerCounts, before: AnswerCounts): AnswerCounts {
    return { sends: Math.max(0, now.sends - before.sends), bad: Math.max(0, now.bad - before.bad) };
}

/** The share of bad responses of the old version, plus a margin for the uncertainty of a small sample. */
function resolveStableShare({ stableSends, stableBad }: RouteState): number {
    const sends = Math.max(stablePriorSends, stableSends);
    const share = stableBad / sends;
    return Math.max(minBadShare, share + Math.sqrt(share * (1 - share) / sends));
}

function computeLogOdds({ sends, bad }: AnswerCounts, stableShare: number): number {
    const soundShare = Math.min(0.7, stableShare + soundExcessShare);
    const badShare = Math.min(0.95, soundShare + badExcessShare - soundExcessShare);
    return bad * Math.log(badShare / soundShare) + (sends - bad) * Math.log((1 - badShare) / (1 - soundShare));
}

/**
 * Whether bad responses came from more than one server, if there is more than one: a single server may itself be
 * faulty.
 */
function isFaultOfVersion(trial: readonly AnswerCounts[]): boolean {
    return trial.filter(({ bad }) => bad > 0).length >= Math.min(2, trial.length);
}
