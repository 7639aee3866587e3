import { type ServerResponse } from "node:http";
import { type RequestMetadata } from "./requestMetadata.js";

/** How a request's work ended. */
export type WorkOutcome = "done" | "cancelled" | "deadline";

/**
 * @param facts - the request
 * @param arrivedAtMs - when it came, on the process's monotonic clock
 * @returns what is left until its deadline in milliseconds, or `undefined` where it has none
 */
export function computeRemainingMs(facts: RequestMetadata, arrivedAtMs: number): number | undefined {
    return facts.deadlineMs === undefined ? undefined : arrivedAtMs + facts.deadlineMs - performance.now();
}

/**
 * Works for a time, unless the caller goes away or its deadline passes first.
 *
 * @param res - where the answer will go; its closing cancels the work
 * @param workMs - the time that the work needs
 * @param deadlineMs - the time that there is
 * @returns how it ended
 */
export function simulateWork(
    res: ServerResponse,
    workMs: number,
    deadlineMs: number | undefined,
): Promise<WorkOutcome> {
    return new Promise(resolve => {
        if (res.closed) {
            resolve("cancelled");
            return;
        }
        const late = deadlineMs !== undefined && deadlineMs < workMs;
        const timer = setTimeout(() => settle(late ? "deadline" : "done"), late ? deadlineMs : workMs);
        const cancel = (): void => settle("cancelled");
        const settle = (outcome: WorkOutcome): void => {
            clearTimeout(timer);
            res.off("close", cancel);
            resolve(outcome);
        };
        res.once("close", cancel);
    });
}
