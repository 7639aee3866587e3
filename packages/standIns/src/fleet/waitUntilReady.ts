import { request } from "undici";
import { type StartedProcess } from "../processes/startProcess.js";

const askAgainMs = 100;

/**
 * Waits until a gateway says that it is ready.
 *
 * @param process - the gateway's
 * @param operationsUrl - such as `http://127.0.0.1:40123`
 * @param untilMs - on this process's monotonic clock
 * @throws Error where it ended, or isn't ready in time
 */
export async function waitUntilReady(process: StartedProcess, operationsUrl: string, untilMs: number): Promise<void> {
    for (;;) {
        const reason = await readReadiness(operationsUrl);
        if (reason === undefined) {
            return;
        }
        if (performance.now() > untilMs || process.exitStatus !== undefined) {
            throw new Error(`${process.name} is not ready: ${reason}`);
        }
        await new Promise(resolve => setTimeout(resolve, askAgainMs));
    }
}

/** @returns why it isn't ready, or `undefined` where it is */
async function readReadiness(operationsUrl: string): Promise<string | undefined> {
    try {
        const res = await request(`${operationsUrl}/readyz`);
        const reason = await res.body.text();
        return res.statusCode === 200 ? undefined : reason.trim();
    }
    catch (err) {
        return err instanceof Error ? err.message : "failed";
    }
}
