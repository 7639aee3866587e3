/** Error kinds, and the table from kind to answer. */
export { type Answer, answers, type DidRun, type ErrorKind, errorKinds } from "./errorKinds.js";
export { createFailure, type Failure, FailureError, type ResolvedFailure, resolveFailure } from "./failure.js";
