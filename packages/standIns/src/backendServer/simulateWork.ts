import { type ServerResponse } from "node:http";
import { type RequestMetadata } from "./requestMetadata.js";

/** How the simulated work of a request ended. */
export type WorkOutcome = "done" | "cancelled" | "deadline";

/**
 * @param metadata - the request
 * @param arrivedAtMs - arrival time on the process's monotonic clock, in milliseconds
 * @returns the time left until its deadline in milliseconds, or `undefined` if it has none
 */
export function computeRemainingMs(metadata: RequestMetadata, arrivedAtMs: number): number | undefined {
    return metadata.deadlineMs === undefined ? undefined : arrivedAtMs + metadata.deadlineMs - performance.now();
}

/**
 * Simulates the work of a request, until it is done, the caller disconnects or the deadline passes.
 *
 * @param res - the response; closing it cancels the work
 * @param workMs - duration of the work in milliseconds
 * @param deadlineMs - time left until the deadline in milliseconds; `undefined` for no deadline
 * @returns how the work ended
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
        const missesDeadline = deadlineMs !== undefined && deadlineMs < workMs;
        const timer = setTimeout(
            () => settle(missesDeadline ? "deadline" : "done"),
            missesDeadline ? deadlineMs : workMs,
        );
        const cancel = (): void => settle("cancelled");
        const settle = (outcome: WorkOutcome): void => {
            clearTimeout(timer);
            res.off("close", cancel);
            resolve(outcome);
        };
        res.once("close", cancel);
    });
}
