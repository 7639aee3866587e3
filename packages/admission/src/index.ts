/** Admission control: the wait queue and the retry budget. */
export { RetryBudget } from "./retryBudget.js";
export { type QueueDecision, type QueuedRequest, WaitQueue } from "./waitQueue.js";
