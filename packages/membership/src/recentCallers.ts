import { type GatewayIdentity } from "./messages.js";

interface Call {
    readonly caller: GatewayIdentity;
    readonly receivedAtMs: number;
}

/**
 * Gateways that recently sent this one a heartbeat. A gateway outside the roster may accept new work on the basis of
 * the responses, and only the gateways that gave them know of it. If they didn't report it, a change would be declared
 * in force while that gateway still sends work under the older revision.
 */
export class RecentCallers {
    readonly #calls = new Map<string, Call>();

    onCall(caller: GatewayIdentity, receivedAtMs: number): void {
        this.#calls.set(caller.name, { caller, receivedAtMs });
    }

    /**
     * @param sinceMs - time of the earliest call to include; earlier ones are deleted
     * @returns the gateways that have called since then
     */
    since(sinceMs: number): readonly GatewayIdentity[] {
        const callers: GatewayIdentity[] = [];
        for (const [name, call] of this.#calls) {
            if (call.receivedAtMs < sinceMs) {
                this.#calls.delete(name);
                continue;
            }
            callers.push(call.caller);
        }
        return callers;
    }
}
