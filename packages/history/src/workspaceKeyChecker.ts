import { type HistoryLine, type Violation, type WrittenWorkspace } from "./events.js";
import { type VersionBounds, type ConfigurationVersion, ConfigurationVersions } from "./configurationVersions.js";

type LineOf<Type extends HistoryLine["type"]> = Extract<HistoryLine, { readonly type: Type; }>;
type Sent = LineOf<"callerSent">;

/** What a version says of a request: the name that a server is told, or that it must not run. */
type Ruling =
    /** The version has no workspaces: whatever the caller sent is passed on. */
    | { readonly type: "unchecked"; }
    /** `name` is `undefined` on an open route without a known key. */
    | { readonly type: "admitted"; readonly name: string | undefined; }
    | { readonly type: "rejected"; };

const unauthenticatedStatus = 401;
const overLimitStatus = 429;

/**
 * Checks that requests run for the holder of their key and for nobody else:
 *
 * - `keyPassedOn`: no backend server gets a caller's key;
 * - `unknownKey`: no request runs whose key no version ever held;
 * - `workspaceName`: a server is told the name of the workspace that holds the key by a version that may be in force;
 * - `revokedKey`: a key that a version revokes runs nothing that was sent after that version must be in force;
 * - `keyDenied`: no request is refused with 401 whose key is there by every version that may be in force;
 * - `limitRefused`: no request is refused with 429 whose workspace has no limit by any version that may be in force.
 *
 * @param history - every line of a run, in the order of its times
 * @param bounds - from when on a version replaces the ones before it
 * @returns what was found against it; empty where the invariants held
 */
export function checkWorkspaceKeys(history: readonly HistoryLine[], bounds: VersionBounds): readonly Violation[] {
    const versions = new ConfigurationVersions(history, bounds);
    const sent = new Map<string, Sent>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            sent.set(line.requestId, line);
            continue;
        }
        const request = "requestId" in line ? sent.get(line.requestId) : undefined;
        const found = request === undefined ? undefined : findFault(line, request, versions);
        if (request !== undefined && found !== undefined) {
            const [invariant, detail] = found;
            const key = request.keyId === undefined ? "without a key" : `with key ${request.keyId}`;
            violations.push({
                invariant,
                detail: `${request.requestId} ${key} ${detail}, ${
                    Math.round(line.atMs - request.atMs)
                } ms after it was sent`,
                lines: [request.sequence, line.sequence],
            });
        }
    }
    return violations;
}

function findFault(
    line: HistoryLine,
    request: Sent,
    versions: ConfigurationVersions,
): readonly [invariant: string, detail: string] | undefined {
    switch (line.type) {
        case "serverStarted":
            return findPassedOn(line, request, versions) ?? findWrongRun(line, request, versions);
        case "serverTurnedAway":
            return findPassedOn(line, request, versions);
        case "callerAnswered":
            return findWrongRefusal(line, request, versions);
        default:
            return undefined;
    }
}

function findWrongRefusal(
    { status, atMs }: LineOf<"callerAnswered">,
    request: Sent,
    versions: ConfigurationVersions,
): readonly [invariant: string, detail: string] | undefined {
    const inForce = versions.inForce(request.atMs, atMs);
    if (status === unauthenticatedStatus && inForce.every(version => rule(version, request).type !== "rejected")) {
        return ["keyDenied", "got 401, and is admitted by every version that may be in force"];
    }
    const hasNoLimit = ({ workspaces }: ConfigurationVersion): boolean =>
        workspaces !== undefined && findHolder(workspaces, request)?.limit === undefined;
    return status === overLimitStatus && inForce.every(hasNoLimit)
        ? ["limitRefused", "got 429, and its workspace has no limit by any version that may be in force"]
        : undefined;
}

function findPassedOn(
    { keyPassedOn, server, atMs }: LineOf<"serverStarted" | "serverTurnedAway">,
    request: Sent,
    versions: ConfigurationVersions,
): readonly [invariant: string, detail: string] | undefined {
    const isChecked = versions.inForce(request.atMs, atMs).every(({ workspaces }) => workspaces !== undefined);
    return keyPassedOn === true && isChecked ? ["keyPassedOn", `reached ${server} with its key`] : undefined;
}

function findWrongRun(
    { workspace, server, atMs }: LineOf<"serverStarted">,
    request: Sent,
    versions: ConfigurationVersions,
): readonly [invariant: string, detail: string] | undefined {
    const told = workspace === undefined ? "no workspace" : `workspace ${workspace}`;
    const admits = (version: ConfigurationVersion): boolean => rule(version, request).type !== "rejected";
    const allows = (version: ConfigurationVersion): boolean => {
        const ruling = rule(version, request);
        return ruling.type === "unchecked" || (ruling.type === "admitted" && ruling.name === workspace);
    };
    const written = versions.writtenUntil(atMs);
    if (!written.some(admits)) {
        return ["unknownKey", `ran on ${server}, and no version ever held its key`];
    }
    const inForce = versions.inForce(request.atMs, atMs);
    if (inForce.some(allows)) {
        return undefined;
    }
    return inForce.some(admits)
        ? ["workspaceName", `ran on ${server} for ${told}, which doesn't hold its key`]
        : ["revokedKey", `ran on ${server} for ${told}, and version ${inForce[0]?.revision ?? 0} has revoked its key`];
}

function findHolder(workspaces: readonly WrittenWorkspace[], { keyId }: Sent): WrittenWorkspace | undefined {
    return workspaces.find(({ keyIds }) => keyId !== undefined && keyIds.includes(keyId));
}

function rule({ workspaces }: ConfigurationVersion, request: Sent): Ruling {
    if (workspaces === undefined) {
        return { type: "unchecked" };
    }
    const holder = findHolder(workspaces, request);
    if (holder !== undefined) {
        return { type: "admitted", name: holder.name };
    }
    return request.open === true ? { type: "admitted", name: undefined } : { type: "rejected" };
}
