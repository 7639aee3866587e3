/** Determines a request's workspace from the caller's key. */
export {
    type CallerIdentity,
    authenticate,
    findKeyChange,
    type KeyChange,
    type RejectionReason,
} from "./authenticate.js";
export { type CallerKey, type RequestLimit, type Workspace } from "./model.js";
export { WorkspaceDirectory } from "./workspaceDirectory.js";
