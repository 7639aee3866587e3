import { type CallerKey, type Workspace } from "./model.js";
import { type WorkspaceDirectory } from "./workspaceDirectory.js";

/** Why a request is rejected because of its key. */
export type RejectionReason = "noKey" | "malformedKey" | "unknownKey";

/** The identity of a caller, as determined from its key. */
export type CallerIdentity =
    /** The configuration has no workspaces, so callers need no key. */
    | { readonly type: "unchecked"; }
    /** The route allows anonymous callers, and the request has no known key. */
    | { readonly type: "anonymous"; }
    | { readonly type: "known"; readonly workspace: Workspace; readonly key: string; };

/**
 * Determines the workspace that a request belongs to.
 *
 * @param callerKey - the key sent with the request
 * @param directory - workspaces in force; `undefined` if the configuration has none
 * @param isOpen - whether the request's route allows callers without a key
 * @returns the caller's identity, or why the request is rejected
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

/** How a request's key has changed since the request arrived. */
export type KeyChange = "revoked" | "moved";

/**
 * Checks whether a request's key is still valid. It is called before each send, since a key may be revoked or moved to
 * another workspace while its request waits or is retried.
 *
 * @param identity - the caller's identity when the request arrived
 * @param directory - workspaces in force now
 * @returns the change because of which the request must not be sent; `undefined` if there is none
 */
export function findKeyChange(
    identity: CallerIdentity,
    directory: WorkspaceDirectory | undefined,
): KeyChange | undefined {
    if (directory === undefined || identity.type === "anonymous") {
        return undefined;
    }
    if (identity.type === "unchecked") {
        // It arrived before any workspaces were configured, so its workspace is unknown.
        return "moved";
    }
    const holder = directory.findByKey(identity.key);
    if (holder === undefined) {
        return "revoked";
    }
    return holder.name === identity.workspace.name ? undefined : "moved";
}
