import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type SoakRoute } from "./soakConfiguration.js";
import {
    limitedWorkspace,
    type PlannedWorkspaces,
    type SoakKey,
    type SoakWorkspace,
    unknownKey,
} from "./workspacePlan.js";

/** How a caller identifies itself. */
export interface CallerCredentials {
    /** API key; `undefined` if the request carries none. */
    readonly key: SoakKey | undefined;
    /** Forged workspace name in the request's headers; `undefined` if there is none. */
    readonly claimedWorkspace: string | undefined;
}

/** The additional properties of a request in a run with workspaces. */
export interface GeneratedRequest {
    readonly credentials: CallerCredentials;
    /** Overrides the route that is drawn in every run; `undefined` keeps it. */
    readonly route: SoakRoute | undefined;
    /** Size of the response that a request on the large route asks for, in bytes. */
    readonly responseBytes: number;
}

const noKeyShare = 0.03;
const unknownKeyShare = 0.03;
/** Share of the requests with any key of the plan, which may be revoked or not yet issued. */
const plannedKeyShare = 0.06;
/** At about 50 requests per second, this stays below the limit of the limited workspace. */
const limitedWorkspaceShare = 0.04;
const forgedWorkspaceShare = 0.1;
const openRouteShare = 0.08;
const largeRouteShare = 0.08;
const maxResponseBytes = 540_000;
/** Exponent that makes most responses short: their mean size is 90 KB. */
const responseSizeExponent = 5;
const seedFactor = 0x2545_f491;

/**
 * Draws callers' keys, and the routes that exist only in runs with workspaces. Has a random sequence of its own, so
 * that runs without workspaces draw the same requests.
 */
export class RequestGenerator {
    readonly #plan: PlannedWorkspaces;
    readonly #random: RandomSource;

    constructor(plan: PlannedWorkspaces, seed: number) {
        this.#plan = plan;
        this.#random = createRandomSource(Math.imul(seed, seedFactor));
    }

    /** @param workspaces - workspaces of the last acknowledged configuration version */
    next(workspaces: readonly SoakWorkspace[]): GeneratedRequest {
        const random = this.#random;
        const key = this.#drawKey(workspaces, random.next(), random.next());
        const forgesWorkspace = random.next() < forgedWorkspaceShare;
        const routeDraw = random.next();
        return {
            credentials: { key, claimedWorkspace: forgesWorkspace ? "birch" : undefined },
            route: routeDraw < openRouteShare
                ? "open"
                : routeDraw < openRouteShare + largeRouteShare
                ? "large"
                : undefined,
            responseBytes: Math.floor(maxResponseBytes * random.next() ** responseSizeExponent),
        };
    }

    #drawKey(workspaces: readonly SoakWorkspace[], kindDraw: number, keyDraw: number): SoakKey | undefined {
        const pick = (keys: readonly SoakKey[]): SoakKey | undefined => keys[Math.floor(keyDraw * keys.length)];
        if (kindDraw < noKeyShare) {
            return undefined;
        }
        if (kindDraw < noKeyShare + unknownKeyShare) {
            return unknownKey;
        }
        if (kindDraw < noKeyShare + unknownKeyShare + plannedKeyShare) {
            return pick(this.#plan.keys);
        }
        const isLimited = kindDraw < noKeyShare + unknownKeyShare + plannedKeyShare + limitedWorkspaceShare;
        const candidates = workspaces.filter(({ name }) => (name === limitedWorkspace) === isLimited);
        return pick(candidates.flatMap(({ keys }) => keys)) ?? this.#plan.keys[0];
    }
}
