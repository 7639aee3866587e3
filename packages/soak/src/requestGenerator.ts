import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type SoakRoute } from "./soakConfiguration.js";
import {
    limitedWorkspace,
    type PlannedWorkspaces,
    type SoakKey,
    type SoakWorkspace,
    unknownKey,
} from "./workspacePlan.js";

/** What a caller says of itself. */
export interface CallerCredentials {
    /** `undefined` where it sends none. */
    readonly key: SoakKey | undefined;
    /** A workspace's name that it makes up; `undefined` where it doesn't. */
    readonly claimedWorkspace: string | undefined;
}

/** What a request of a run with workspaces has besides those of other runs. */
export interface GeneratedRequest {
    readonly credentials: CallerCredentials;
    /** Takes the place of the route that was drawn for every run. */
    readonly route: SoakRoute | undefined;
    /** Length of the answer that a request on the large route asks for. */
    readonly responseBytes: number;
}

const keylessShare = 0.03;
const unknownShare = 0.03;
/** Keys that may be revoked, or not be there yet. */
const anyKeyShare = 0.06;
/** Of about 50 requests a second: below the limit of the workspace that has one. */
const limitedShare = 0.04;
const claimShare = 0.1;
const openShare = 0.08;
const largeShare = 0.08;
const largestAnswerBytes = 540_000;
/** Most answers are short: 90 KB is the mean of the largest number to this power. */
const answerSkew = 5;
const seedFactor = 0x2545_f491;

/** Draws callers' keys and the routes that only runs with workspaces have, apart from everything else in a run. */
export class RequestGenerator {
    readonly #plan: PlannedWorkspaces;
    readonly #random: RandomSource;

    constructor(plan: PlannedWorkspaces, seed: number) {
        this.#plan = plan;
        this.#random = createRandomSource(Math.imul(seed, seedFactor));
    }

    /** @param workspaces - of the version that was acknowledged last */
    next(workspaces: readonly SoakWorkspace[]): GeneratedRequest {
        const random = this.#random;
        const key = this.#drawKey(workspaces, random.next(), random.next());
        const claims = random.next() < claimShare;
        const way = random.next();
        return {
            credentials: { key, claimedWorkspace: claims ? "birch" : undefined },
            route: way < openShare ? "open" : way < openShare + largeShare ? "large" : undefined,
            responseBytes: Math.floor(largestAnswerBytes * random.next() ** answerSkew),
        };
    }

    #drawKey(workspaces: readonly SoakWorkspace[], kind: number, place: number): SoakKey | undefined {
        const pick = (keys: readonly SoakKey[]): SoakKey | undefined => keys[Math.floor(place * keys.length)];
        if (kind < keylessShare) {
            return undefined;
        }
        if (kind < keylessShare + unknownShare) {
            return unknownKey;
        }
        if (kind < keylessShare + unknownShare + anyKeyShare) {
            return pick(this.#plan.keys);
        }
        const isLimited = kind < keylessShare + unknownShare + anyKeyShare + limitedShare;
        const held = workspaces.filter(({ name }) => (name === limitedWorkspace) === isLimited);
        return pick(held.flatMap(({ keys }) => keys)) ?? this.#plan.keys[0];
    }
}
