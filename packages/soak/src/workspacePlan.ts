import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A key of a caller. */
export interface SoakKey {
    /** Stands for it in histories. */
    readonly id: string;
    /** Sent by callers, and written to the store; nothing else may contain it. */
    readonly secret: string;
}

/** A workspace as one version of the configuration has it. */
export interface SoakWorkspace {
    readonly name: string;
    readonly keys: readonly SoakKey[];
    readonly priority?: number | undefined;
    readonly limit?: { readonly perSecond: number; readonly burst: number; } | undefined;
}

/** Callers of one workspace that ask for more than its limit. */
export interface PlannedOverload {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly durationMs: number;
    readonly perSecond: number;
    readonly key: SoakKey;
}

/** The workspaces of a run. */
export interface PlannedWorkspaces {
    readonly initial: readonly SoakWorkspace[];
    /** Versions that follow, each with all workspaces, oldest first. */
    readonly changes: readonly { readonly atMs: number; readonly workspaces: readonly SoakWorkspace[]; }[];
    /** Every key that any version holds. */
    readonly keys: readonly SoakKey[];
    /** `undefined` where limits are not kept. */
    readonly overload: PlannedOverload | undefined;
}

/** Every secret begins with it, so that logs and what servers get can be searched for all of them. */
export const secretPrefix = "soak-secret-";

/** A key that no version holds. */
export const unknownKey: SoakKey = Object.freeze({ id: "unknown", secret: `${secretPrefix}unknown` });

/** The workspace that has a limit. */
export const limitedWorkspace = "cedar";

const workspacesShare = 0.7;
const fewestChanges = 2;
const mostChanges = 5;
const earliestMs = 300;
/** After the last fault, so that every run has a change whose time to be in force is measured with nothing harmed. */
const lastChangeMs = faultPhaseMs + 2_000;
const smallestLimit = 3;
const limitSpread = 4;
/** How far the limited workspace's callers exceed its limit, and how long beyond the time of faults. */
const overloadFactor = 4.5;
const overloadTailMs = 3_000;
/** Spreads neighbouring seeds, and keeps apart from those of everything else in a run. */
const seedFactor = 0x1656_67b1;

/**
 * Draws whether callers of a run need keys, and how workspaces and keys change: keys are added, revoked and moved.
 *
 * @param seed - of the run
 * @param hasLimits - whether one of the workspaces has a limit, which its callers exceed
 * @returns the same for the same seed; `undefined` for a run without workspaces
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
    const perSecond = smallestLimit + random.nextInt(limitSpread);
    const limitedKey = issueKey();
    const first: readonly SoakWorkspace[] = [
        { name: "atlas", keys: [issueKey(), issueKey()] },
        { name: "birch", keys: [issueKey(), issueKey()], priority: 0 },
        { name: limitedWorkspace, keys: [limitedKey], limit: resolveLimit(perSecond) },
    ];
    const count = fewestChanges + random.nextInt(mostChanges - fewestChanges + 1);
    const times = Array.from({ length: count }, () => earliestMs + random.next() * (faultPhaseMs - earliestMs));
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

/** Adds, revokes or moves a key of one of the workspaces without a limit. */
function changeKeys(
    workspaces: readonly SoakWorkspace[],
    random: RandomSource,
    issueKey: () => SoakKey,
): readonly SoakWorkspace[] {
    const [from = 0, to = 0] = random.next() < 0.5 ? [0, 1] : [1, 0];
    const held = workspaces[from]?.keys ?? [];
    const kind = random.next();
    const chosen = held[random.nextInt(Math.max(1, held.length))];
    const replaceKeys = (at: number, keys: readonly SoakKey[]): readonly SoakWorkspace[] =>
        workspaces.map((workspace, i) => i === at ? { ...workspace, keys } : workspace);
    if (chosen === undefined || kind < 0.35) {
        return replaceKeys(from, [...held, issueKey()]);
    }
    const left = held.filter(key => key !== chosen);
    if (kind < 0.75) {
        return replaceKeys(from, left);
    }
    return replaceKeys(from, left).map((workspace, i) =>
        i === to ? { ...workspace, keys: [...workspace.keys, chosen] } : workspace
    );
}
