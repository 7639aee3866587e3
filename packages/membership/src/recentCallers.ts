import { type GatewayIdentity } from "./messages.js";

interface Call {
    readonly caller: GatewayIdentity;
    readonly receivedAtMs: number;
}

/**
 * Who asked this gateway lately. A gateway that isn't in the roster may serve on the strength of these answers, and
 * only those who gave them know that it exists: unless they name it, a change is called in force while it still sends
 * work under the older one.
 */
export class RecentCallers {
    readonly #calls = new Map<string, Call>();

    onCall(caller: GatewayIdentity, receivedAtMs: number): void {
        this.#calls.set(caller.name, { caller, receivedAtMs });
    }

    /**
     * @param sinceMs - earliest call that counts; earlier ones are forgotten
     * @returns who called since then
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
