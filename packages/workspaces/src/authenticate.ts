import { type CallerKey, type Workspace } from "./model.js";
import { type WorkspaceDirectory } from "./workspaceDirectory.js";

/** Why a request is turned away for its key. */
export type RejectionReason = "noKey" | "malformedKey" | "unknownKey";

/** What a request's key says of its caller. */
export type Admission =
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
): Admission | RejectionReason {
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

/**
 * Asked again before each send: a key may be withdrawn while its request waits or is tried again.
 *
 * @param admission - as decided at the request's arrival
 * @param directory - workspaces in force now
 * @returns whether the same workspace still holds the key
 */
export function isStillAdmitted(admission: Admission, directory: WorkspaceDirectory | undefined): boolean {
    if (admission.type !== "known" || directory === undefined) {
        return true;
    }
    return directory.findByKey(admission.key)?.name === admission.workspace.name;
}
