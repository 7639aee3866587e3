/** Whether and when a request is taken: queue, limits and the retry budget. */
export { RetryBudget } from "./retryBudget.js";
export { type QueueDecision, type QueuedRequest, WaitQueue } from "./waitQueue.js";
