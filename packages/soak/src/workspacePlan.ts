import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** An API key of a caller. */
export interface SoakKey {
    /** Identifies the key in histories. */
    readonly id: string;
    /** The key itself, which callers send and the store holds; it must not appear anywhere else. */
    readonly secret: string;
}

/** A workspace in one version of the configuration. */
export interface SoakWorkspace {
    readonly name: string;
    readonly keys: readonly SoakKey[];
    readonly priority?: number | undefined;
    readonly limit?: { readonly perSecond: number; readonly burst: number; } | undefined;
}

/** Load on a workspace that exceeds its rate limit. */
export interface PlannedOverload {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    readonly perSecond: number;
    readonly key: SoakKey;
}

/** The workspaces of a run and their changes. */
export interface PlannedWorkspaces {
    readonly initial: readonly SoakWorkspace[];
    /** The later versions, each with all workspaces, oldest first; times in milliseconds after the load begins. */
    readonly changes: readonly { readonly atMs: number; readonly workspaces: readonly SoakWorkspace[]; }[];
    /** All keys of all versions. */
    readonly keys: readonly SoakKey[];
    /** `undefined` if gateways don't enforce limits. */
    readonly overload: PlannedOverload | undefined;
}

/** Prefix of all secrets, by which logs and the requests that reach servers are searched for leaked keys. */
export const secretPrefix = "soak-secret-";

/** A key that is in no version. */
export const unknownKey: SoakKey = Object.freeze({ id: "unknown", secret: `${secretPrefix}unknown` });

/** Name of the workspace with a rate limit. */
export const limitedWorkspace = "cedar";

const workspacesShare = 0.7;
const minChanges = 2;
const maxChanges = 5;
const minChangeMs = 300;
/** After the last fault, so that in every run the time until a change is in force is measured once without faults. */
const lastChangeMs = faultPhaseMs + 2_000;
const minLimit = 3;
const limitSpread = 4;
/** Factor by which the limited workspace's callers exceed its limit, and how long they do so after the fault phase. */
const overloadFactor = 4.5;
const overloadTailMs = 3_000;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x1656_67b1;

/**
 * Draws whether callers of a run need keys, and how workspaces change: keys are added, revoked and moved.
 *
 * @param seed - seed of the run
 * @param hasLimits - whether one of the workspaces has a rate limit, which its callers exceed
 * @returns the plan, the same for the same seed; `undefined` for a run without workspaces
 */
export function planWorkspaces(seed: number, hasLimits: boolean): PlannedWorkspaces | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= workspacesShare) {
        return undefined;
    }
    const keys: SoakKey[] = [];
    const issueKey = (): SoakKey => {
        const key = {
            id: `key-${keys.length + 1}`,
            secret: `${secretPrefix}${keys.length + 1}-${random.nextInt(2 ** 31)}`,
        };
        keys.push(key);
        return key;
    };
    const resolveLimit = (limit: number): SoakWorkspace["limit"] =>
        hasLimits ? { perSecond: limit, burst: limit } : undefined;
    const perSecond = minLimit + random.nextInt(limitSpread);
    const limitedKey = issueKey();
    const first: readonly SoakWorkspace[] = [
        { name: "atlas", keys: [issueKey(), issueKey()] },
        { name: "birch", keys: [issueKey(), issueKey()], priority: 0 },
        { name: limitedWorkspace, keys: [limitedKey], limit: resolveLimit(perSecond) },
    ];
    const count = minChanges + random.nextInt(maxChanges - minChanges + 1);
    const times = Array.from({ length: count }, () => minChangeMs + random.next() * (faultPhaseMs - minChangeMs));
    times[0] = lastChangeMs;
    const lowersLimitAt = random.nextInt(count);
    let workspaces = first;
    const changes = times.sort((a, b) => a - b).map((atMs, i) => {
        workspaces = changeKeys(workspaces, random, issueKey);
        if (i === lowersLimitAt) {
            const limit = resolveLimit(Math.ceil(perSecond / 2));
            workspaces = workspaces.map(each => each.name === limitedWorkspace ? { ...each, limit } : each);
        }
        return { atMs, workspaces };
    });
    const overload = {
        atMs: 0,
        durationMs: faultPhaseMs + overloadTailMs,
        perSecond: perSecond * overloadFactor,
        key: limitedKey,
    };
    return { initial: first, changes, keys, overload: hasLimits ? overload : undefined };
}

/** Adds, revokes or moves a key of one of the two workspaces without a rate limit. */
function changeKeys(
    workspaces: readonly SoakWorkspace[],
    random: RandomSource,
    issueKey: () => SoakKey,
): readonly SoakWorkspace[] {
    const [from = 0, to = 0] = random.next() < 0.5 ? [0, 1] : [1, 0];
    const sourceKeys = workspaces[from]?.keys ?? [];
    const kind = random.next();
    const chosen = sourceKeys[random.nextInt(Math.max(1, sourceKeys.length))];
    const replaceKeys = (at: number, keys: readonly SoakKey[]): readonly SoakWorkspace[] =>
        workspaces.map((workspace, i) => i === at ? { ...workspace, keys } : workspace);
    if (chosen === undefined || kind < 0.35) {
        return replaceKeys(from, [...sourceKeys, issueKey()]);
    }
    const left = sourceKeys.filter(key => key !== chosen);
    if (kind < 0.75) {
        return replaceKeys(from, left);
    }
    return replaceKeys(from, left).map((workspace, i) =>
        i === to ? { ...workspace, keys: [...workspace.keys, chosen] } : workspace
    );
}
