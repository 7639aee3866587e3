import { type CallerKey, type Workspace } from "./model.js";
import { type WorkspaceDirectory } from "./workspaceDirectory.js";

/** Why a request is turned away for its key. */
export type RejectionReason = "noKey" | "malformedKey" | "unknownKey";

/** What a request's key says of its caller. */
export type CallerIdentity =
    /** The configuration has no workspaces, so that nobody is asked for a key. */
    | { readonly type: "unchecked"; }
    /** A route that is open to everyone, and no key that is known. */
    | { readonly type: "anonymous"; }
    | { readonly type: "known"; readonly workspace: Workspace; readonly key: string; };

/**
 * Finds the workspace that a request belongs to.
 *
 * @param callerKey - what the request says
 * @param directory - workspaces in force; `undefined` where the configuration has none
 * @param isOpen - whether the request's route takes callers without a key
 * @returns on whose behalf the request is made, or why it is turned away
 */
export function authenticate(
    callerKey: CallerKey,
    directory: WorkspaceDirectory | undefined,
    isOpen: boolean,
): CallerIdentity | RejectionReason {
    if (directory === undefined) {
        return { type: "unchecked" };
    }
    const workspace = callerKey.type === "given" ? directory.findByKey(callerKey.key) : undefined;
    if (callerKey.type === "given" && workspace !== undefined) {
        return { type: "known", workspace, key: callerKey.key };
    }
    return isOpen ? { type: "anonymous" } : rejectionReasons[callerKey.type];
}

const rejectionReasons: Readonly<Record<CallerKey["type"], RejectionReason>> = {
    none: "noKey",
    malformed: "malformedKey",
    given: "unknownKey",
};

/** What became of a request's key since the request arrived. */
export type KeyChange = "revoked" | "moved";

/**
 * Asked again before each send: a key may be revoked or moved while its request waits or is tried again.
 *
 * @param admission - as decided at the request's arrival
 * @param directory - workspaces in force now
 * @returns what keeps the request from being sent on the same caller's behalf; `undefined` where nothing does
 */
export function findKeyChange(
    admission: CallerIdentity,
    directory: WorkspaceDirectory | undefined,
): KeyChange | undefined {
    if (directory === undefined || admission.type === "anonymous") {
        return undefined;
    }
    if (admission.type === "unchecked") {
        // It arrived before any workspaces were configured, so that nobody knows whose it is.
        return "moved";
    }
    const holder = directory.findByKey(admission.key);
    if (holder === undefined) {
        return "revoked";
    }
    return holder.name === admission.workspace.name ? undefined : "moved";
}
