import { type HistoryLine, type Violation, type WrittenWorkspace } from "./events.js";
import { type VersionBounds, type ConfigurationVersion, ConfigurationVersions } from "./configurationVersions.js";

type LineOf<Type extends HistoryLine["type"]> = Extract<HistoryLine, { readonly type: Type; }>;
type Sent = LineOf<"callerSent">;

/** What a configuration version prescribes for a request: the workspace name sent to the server, or rejection. */
type Admission =
    /** The version has no workspaces: whatever the caller sent is forwarded. */
    | { readonly type: "unchecked"; }
    /** `name` is `undefined` for a request without a known key on an open route. */
    | { readonly type: "admitted"; readonly name: string | undefined; }
    | { readonly type: "rejected"; };

const unauthenticatedStatus = 401;
const overLimitStatus = 429;

/**
 * Checks that requests run only for the workspace that their key belongs to:
 *
 * - `keyPassedOn`: no backend server receives a caller's key;
 * - `unknownKey`: no request runs with a key that no version ever contained;
 * - `workspaceName`: the workspace name sent to a server owns the key in a version that may be in force;
 * - `revokedKey`: no request runs with a revoked key if it was sent after the revoking version must be in force;
 * - `keyDenied`: no request gets status 401 if every version that may be in force contains its key;
 * - `limitRefused`: no request gets status 429 if its workspace has no limit in any version that may be in force.
 *
 * @param history - every line of a run, ordered by time
 * @param bounds - when a version must have replaced the earlier ones
 * @returns violations; empty if the invariants held
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
            return findForwardedKey(line, request, versions) ?? findWrongRun(line, request, versions);
        case "serverTurnedAway":
            return findForwardedKey(line, request, versions);
        case "callerAnswered":
            return findWrongRejection(line, request, versions);
        default:
            return undefined;
    }
}

function findWrongRejection(
    { status, atMs }: LineOf<"callerAnswered">,
    request: Sent,
    versions: ConfigurationVersions,
): readonly [invariant: string, detail: string] | undefined {
    const inForce = versions.inForce(request.atMs, atMs);
    if (
        status === unauthenticatedStatus
        && inForce.every(version => resolveAdmission(version, request).type !== "rejected")
    ) {
        return ["keyDenied", "got 401, although every version that may be in force admits it"];
    }
    const hasNoLimit = ({ workspaces }: ConfigurationVersion): boolean =>
        workspaces !== undefined && findKeyOwner(workspaces, request)?.limit === undefined;
    return status === overLimitStatus && inForce.every(hasNoLimit)
        ? ["limitRefused", "got 429, although its workspace has no limit in any version that may be in force"]
        : undefined;
}

function findForwardedKey(
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
    const receivedName = workspace === undefined ? "no workspace" : `workspace ${workspace}`;
    const admits = (version: ConfigurationVersion): boolean => resolveAdmission(version, request).type !== "rejected";
    const allows = (version: ConfigurationVersion): boolean => {
        const admission = resolveAdmission(version, request);
        return admission.type === "unchecked" || (admission.type === "admitted" && admission.name === workspace);
    };
    const written = versions.writtenUntil(atMs);
    if (!written.some(admits)) {
        return ["unknownKey", `ran on ${server}, although no version ever contained its key`];
    }
    const inForce = versions.inForce(request.atMs, atMs);
    if (inForce.some(allows)) {
        return undefined;
    }
    return inForce.some(admits)
        ? ["workspaceName", `ran on ${server} for ${receivedName}, which doesn't own its key`]
        : [
            "revokedKey",
            `ran on ${server} for ${receivedName}, although version ${inForce[0]?.revision ?? 0} has revoked its key`,
        ];
}

function findKeyOwner(workspaces: readonly WrittenWorkspace[], { keyId }: Sent): WrittenWorkspace | undefined {
    return workspaces.find(({ keyIds }) => keyId !== undefined && keyIds.includes(keyId));
}

function resolveAdmission({ workspaces }: ConfigurationVersion, request: Sent): Admission {
    if (workspaces === undefined) {
        return { type: "unchecked" };
    }
    const owner = findKeyOwner(workspaces, request);
    if (owner !== undefined) {
        return { type: "admitted", name: owner.name };
    }
    return request.open === true ? { type: "admitted", name: undefined } : { type: "rejected" };
}
