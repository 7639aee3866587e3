/** Error kinds, and the table from kind to answer. */
export { type ErrorResponse, errorResponses, type DidRun, type ErrorKind, errorKinds } from "./errorKinds.js";
export { createFailure, type Failure, FailureError, type ResolvedFailure, resolveFailure } from "./failure.js";
