/** Error kinds, failures, and the responses they map to. */
export { type ErrorResponse, errorResponses, type DidRun, type ErrorKind, errorKinds } from "./errorKinds.js";
export {
    createFailure,
    type Failure,
    FailureError,
    isPromisedNotRun,
    type ResolvedFailure,
    resolveFailure,
} from "./failure.js";
