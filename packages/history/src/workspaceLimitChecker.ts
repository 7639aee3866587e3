import { type HistoryLine, type Violation, type WrittenWorkspace } from "./events.js";
import { type VersionBounds, ConfigurationVersions } from "./configurationVersions.js";

/** How far a workspace's requests may exceed its limit. */
export interface WorkspaceLimitBounds extends VersionBounds {
    readonly windowMs: number;
    /** Tolerance in a window, as a share of the limit. */
    readonly overshoot: number;
    /** Fixed number of requests allowed in any one window in addition. */
    readonly slack: number;
}

/** A request that ran: when its caller sent it, and when a server first started it. */
interface Run {
    readonly sentAtMs: number;
    readonly startedAtMs: number;
    readonly sequence: number;
}

const msPerSecond = 1_000;

/**
 * Checks that all hosts together enforce the limit of each workspace: in any one window, the number of requests that
 * were both sent and started in it is at most the limit with its tolerance. A request counts once, however often it
 * ran. If the limit changes, the largest one that may be in force at any time of the window applies, so that a lowered
 * limit applies to windows that start once it is in force on every host.
 *
 * @param history - every line of a run, ordered by time
 * @param bounds - how far a limit may be exceeded
 * @returns for each workspace over its limit, the window that exceeds it most; empty if the invariant held
 */
export function checkWorkspaceLimits(
    history: readonly HistoryLine[],
    bounds: WorkspaceLimitBounds,
): readonly Violation[] {
    const versions = new ConfigurationVersions(history, bounds);
    const violations: Violation[] = [];
    for (const [workspace, runs] of findRuns(history)) {
        let worst: { readonly excess: number; readonly violation: Violation; } | undefined;
        for (const [i, first] of runs.entries()) {
            const untilMs = first.sentAtMs + bounds.windowMs;
            const allowed = findAllowed(workspace, versions, first.sentAtMs, bounds);
            const within = findWithin(runs, i, untilMs);
            const excess = within.length - allowed;
            if (excess > (worst?.excess ?? 0)) {
                const detail =
                    `${workspace}: ${within.length} requests were sent and started in ${bounds.windowMs} ms, ${
                        Math.floor(allowed)
                    } are allowed`;
                const lines = within.map(({ sequence }) => sequence);
                worst = { excess, violation: { invariant: "workspaceLimit", detail, lines } };
            }
        }
        if (worst !== undefined) {
            violations.push(worst.violation);
        }
    }
    return violations;
}

/** @returns runs by the workspace name that servers received, ordered by the time at which callers sent the requests */
function findRuns(history: readonly HistoryLine[]): ReadonlyMap<string, readonly Run[]> {
    const sentAtMs = new Map<string, number>();
    const counted = new Set<string>();
    const runs = new Map<string, Run[]>();
    for (const line of history) {
        if (line.type === "callerSent") {
            sentAtMs.set(line.requestId, line.atMs);
        }
        if (line.type !== "serverStarted" || line.workspace === undefined || counted.has(line.requestId)) {
            continue;
        }
        counted.add(line.requestId);
        const workspaceRuns = runs.get(line.workspace) ?? [];
        runs.set(line.workspace, workspaceRuns);
        const { sequence, atMs: startedAtMs } = line;
        workspaceRuns.push({ sentAtMs: sentAtMs.get(line.requestId) ?? startedAtMs, startedAtMs, sequence });
    }
    for (const workspaceRuns of runs.values()) {
        workspaceRuns.sort((a, b) => a.sentAtMs - b.sentAtMs);
    }
    return runs;
}

function findWithin(runs: readonly Run[], from: number, untilMs: number): readonly Run[] {
    const within: Run[] = [];
    for (let i = from; i < runs.length; i++) {
        const run = runs[i];
        if (run === undefined || run.sentAtMs > untilMs) {
            break;
        }
        if (run.startedAtMs <= untilMs) {
            within.push(run);
        }
    }
    return within;
}

function findAllowed(
    name: string,
    versions: ConfigurationVersions,
    fromMs: number,
    { windowMs, overshoot, slack }: WorkspaceLimitBounds,
): number {
    // Hosts need to be in sync only at the window's start: a host never falls back to a version that it has replaced.
    const possible = versions.inForce(fromMs, fromMs + windowMs, fromMs);
    const workspaces = possible.map(version => version.workspaces?.find(workspace => workspace.name === name));
    const allow = ({ limit }: WrittenWorkspace): number =>
        limit === undefined
            ? Infinity
            : (limit.perSecond * windowMs / msPerSecond + limit.burst) * (1 + overshoot) + slack;
    // Versions without the workspace allow it nothing. If no version has it, the name is wrong rather than the rate,
    // which checkWorkspaceKeys reports.
    const allowed = workspaces.flatMap(workspace => workspace === undefined ? [] : [allow(workspace)]);
    return allowed.length === 0 ? Infinity : Math.max(...allowed);
}
