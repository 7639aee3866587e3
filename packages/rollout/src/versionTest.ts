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

/** What is thought of a version, with what decided. */
export interface VersionVerdict {
    readonly type: "open" | "sound" | "bad";
    /** The route that decided; empty where none did. */
    readonly route: string;
    readonly logOdds: number;
    readonly trialSends: number;
    readonly trialBad: number;
    /** Share of bad answers of the old version, as it was assumed. */
    readonly stableShare: number;
}

/** Decides on a new version by its answers beside the old one's. */
export abstract class VersionTest {
    /**
     * Looks at all answers so far; may be asked after each one.
     *
     * @param routes - every answer since the test began; numbers never fall, but for a route or server that is new
     */
    abstract evaluate(routes: readonly RouteEvidence[]): VersionVerdict;
}

interface RouteState {
    stable: AnswerCounts;
    trial: AnswerCounts;
    stableSends: number;
    stableBad: number;
    /** Log odds that it is bad rather than sound, over all answers. */
    logOdds: number;
    /** The same since it was last in favour of the version: finds a fault that begins late. */
    recentLogOdds: number;
}

/**
 * Wald's sequential probability ratio test, a route at a time, of "bad answers exceed the old version's by `badExcess`" against
 * "by `soundExcess` at most". A second sum that never falls below zero (CUSUM) finds versions that turn bad later. The old
 * version's share is measured beside, in the same time, so that a trouble which both share speaks against neither.
 *
 * By Wald's bounds a bad version passes for sound with a chance below e^soundLogOdds a route; the second sum is looked at over
 * and over, so a sound version is rejected once in about e^badLogOdds answers by chance alone, less the distance of a usual one
 * from `soundExcess`.
 */
export class SequentialRatioTest extends VersionTest {
    readonly #routes = new Map<string, RouteState>();

    override evaluate(routes: readonly RouteEvidence[]): VersionVerdict {
        const verdicts = routes.map(evidence => this.#look(evidence));
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

    #look({ route, stable, trial }: RouteEvidence): VersionVerdict {
        const state = this.#routes.get(route) ?? createRouteState();
        this.#routes.set(route, state);
        const total = sumTrialCounts(trial);
        const fresh = subtract(stable, state.stable);
        state.stableSends = state.stableSends * (1 - stableDecayPerUpdate) + fresh.sends;
        state.stableBad = state.stableBad * (1 - stableDecayPerUpdate) + fresh.bad;
        const stableShare = resolveStableShare(state);
        const step = resolveLogOdds(subtract(total, state.trial), stableShare);
        state.logOdds += step;
        state.recentLogOdds = Math.max(0, state.recentLogOdds + step);
        state.stable = stable;
        state.trial = total;
        const isBad = state.recentLogOdds >= badLogOddsThreshold && isOfTheVersion(trial);
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

/** A gateway's reports may be lost with it; its answers are not taken back. */
function subtract(now: AnswerCounts, before: AnswerCounts): AnswerCounts {
    return { sends: Math.max(0, now.sends - before.sends), bad: Math.max(0, now.bad - before.bad) };
}

/** The old version's share of bad answers, and as much more as few answers leave open. */
function resolveStableShare({ stableSends, stableBad }: RouteState): number {
    const sends = Math.max(stablePriorSends, stableSends);
    const share = stableBad / sends;
    return Math.max(minBadShare, share + Math.sqrt(share * (1 - share) / sends));
}

function resolveLogOdds({ sends, bad }: AnswerCounts, stableShare: number): number {
    const sound = Math.min(0.7, stableShare + soundExcessShare);
    const poor = Math.min(0.95, sound + badExcessShare - soundExcessShare);
    return bad * Math.log(poor / sound) + (sends - bad) * Math.log((1 - poor) / (1 - sound));
}

/** Whether bad answers came from more than one server, where there is more than one: a single one may be at fault itself. */
function isOfTheVersion(trial: readonly AnswerCounts[]): boolean {
    return trial.filter(({ bad }) => bad > 0).length >= Math.min(2, trial.length);
}
