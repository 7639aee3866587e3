import { request } from "undici";
import { type StartedProcess } from "../processes/startProcess.js";

const pollIntervalMs = 100;

/**
 * Polls a gateway's readiness endpoint until it reports ready.
 *
 * @param process - the gateway's process
 * @param operationsUrl - base URL of the gateway's operations port, such as `http://127.0.0.1:40123`
 * @param untilMs - deadline on this process's monotonic clock, in milliseconds
 * @throws Error if the process has exited or isn't ready by the deadline
 */
export async function waitUntilReady(process: StartedProcess, operationsUrl: string, untilMs: number): Promise<void> {
    for (;;) {
        const reason = await fetchUnreadyReason(operationsUrl);
        if (reason === undefined) {
            return;
        }
        if (performance.now() > untilMs || process.exitStatus !== undefined) {
            throw new Error(`${process.name} is not ready: ${reason}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

/** @returns the reason why the gateway isn't ready, or `undefined` if it is */
async function fetchUnreadyReason(operationsUrl: string): Promise<string | undefined> {
    try {
        const res = await request(`${operationsUrl}/readyz`);
        const reason = await res.body.text();
        return res.statusCode === 200 ? undefined : reason.trim();
    }
    catch (err) {
        return err instanceof Error ? err.message : "failed";
    }
}
