import { findOwners } from "@galenaglade/fleet-state";
import { type Command, type LimitRule, protocolVersion, parseLimitMessage, type TokenRequest } from "../../index.js";
import { type Limiter } from "./limitSimulation.js";

const noCommands: readonly Command[] = [];

/** Minimum capacity in tokens; with less, a share of a small limit would never admit a request. */
const minCapacity = 1;

abstract class ComparedLimiter implements Limiter {
    protected readonly name: string;
    protected names: readonly string[] = [];
    #level: number | undefined;
    #updatedAtMs = 0;

    constructor(name: string) {
        this.name = name;
    }

    abstract request(
        request: TokenRequest,
        nowMs: number,
    ): { readonly requestId: number; readonly commands: readonly Command[]; };

    onMessage(from: string, json: unknown, nowMs: number): readonly Command[] {
        return from === json ? [] : this.#ignore(nowMs);
    }

    onRoster(names: readonly string[]): readonly Command[] {
        this.names = names;
        return noCommands;
    }

    tick(): readonly Command[] {
        return noCommands;
    }

    nextTickMs(): number | undefined {
        return undefined;
    }

    giveBack(): void {
        this.#level = (this.#level ?? 0) + 1;
    }

    stop(): readonly Command[] {
        return noCommands;
    }

    protected take({ perSecond, burst }: LimitRule, share: number, nowMs: number): boolean {
        const capacity = Math.max(minCapacity, share * (1.05 * burst + 3));
        const level = this.#level ?? share * 0.1 * perSecond + 1;
        this.#level = Math.min(
            capacity,
            level + Math.max(0, nowMs - this.#updatedAtMs) * perSecond * share * 1.02 / 1_000,
        );
        this.#updatedAtMs = nowMs;
        const isAdmitted = this.#level >= 1;
        this.#level -= isAdmitted ? 1 : 0;
        return isAdmitted;
    }

    #ignore(nowMs: number): readonly Command[] {
        this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
        return noCommands;
    }
}

/** Gives each of N hosts 1/N of each limit, in a bucket of its own. */
export class EqualShareLimiter extends ComparedLimiter {
    #requests = 0;

    override request(request: TokenRequest, nowMs: number) {
        const isAdmitted = this.take(request, 1 / this.names.length, nowMs);
        return { requestId: this.#requests, commands: [decide(this.#requests++, isAdmitted, request)] };
    }
}

/**
 * Lets the first candidate grant all tokens, and the next one while the first doesn't respond; without shares and
 * leases.
 */
export class SingleOwnerLimiter extends ComparedLimiter {
    readonly #waitingRequests = new Map<
        number,
        { readonly request: TokenRequest; readonly atMs: number; attempts: number; }
    >();
    #lostAtMs = new Map<string, number>();
    #requests = 0;

    override request(request: TokenRequest, nowMs: number) {
        const requestId = this.#requests++;
        this.#waitingRequests.set(requestId, { request, atMs: nowMs, attempts: 0 });
        return { requestId, commands: this.#requestToken(requestId, nowMs) };
    }

    override onMessage(from: string, json: unknown, nowMs: number): readonly Command[] {
        const message = parseLimitMessage(json);
        const entry = message?.type === "ask" ? message.entries[0] : undefined;
        if (message?.type === "ask" && entry !== undefined) {
            const granted = this.take(entry, 1, nowMs) ? 1 : 0;
            const entries = [{ granted, retryAfterMs: 0, plentiful: false, over: true }];
            const response = {
                v: protocolVersion,
                type: "answer",
                sender: this.name,
                askerLife: message.life,
                atMs: nowMs,
            } as const;
            return [{
                type: "send",
                to: from,
                message: { ...response, life: "x", seq: message.seq, group: 0, entries },
            }];
        }
        const pending = message === undefined ? undefined : this.#waitingRequests.get(message.seq);
        if (message?.type !== "answer" || pending === undefined) {
            return noCommands;
        }
        this.#waitingRequests.delete(message.seq);
        return [decide(message.seq, message.entries[0]?.granted === 1, pending.request)];
    }

    override tick(nowMs = 0): readonly Command[] {
        const overdue = [...this.#waitingRequests].filter(([, { atMs, attempts }]) => nowMs - atMs >= attempts * 150);
        return overdue.flatMap(([requestId]) => {
            const owner = this.#findOwner(nowMs);
            if (owner !== undefined) {
                this.#lostAtMs.set(owner, nowMs);
            }
            return this.#requestToken(requestId, nowMs);
        });
    }

    override nextTickMs(nowMs = 0): number | undefined {
        const due = [...this.#waitingRequests.values()].map(({ atMs, attempts }) => atMs + attempts * 150);
        return due.length === 0 ? undefined : Math.max(0, Math.min(...due) - nowMs);
    }

    #findOwner(nowMs: number): string | undefined {
        return findOwners("owner", this.names, 6).find(name =>
            nowMs - (this.#lostAtMs.get(name) ?? -Infinity) >= 5_000
        );
    }

    #requestToken(requestId: number, nowMs: number): readonly Command[] {
        const waiting = this.#waitingRequests.get(requestId);
        const owner = this.#findOwner(nowMs);
        if (waiting === undefined) {
            return noCommands;
        }
        if (owner === undefined || waiting.attempts >= 6 || owner === this.name) {
            this.#waitingRequests.delete(requestId);
            return [decide(requestId, owner === this.name && this.take(waiting.request, 1, nowMs), waiting.request)];
        }
        waiting.attempts++;
        const { workspace, perSecond, burst, configVersion } = waiting.request;
        const entries = [{ workspace, perSecond, burst, configVersion, wanted: 1, givenBack: 0 }];
        const message = { v: protocolVersion, type: "ask", sender: this.name, life: "x", group: 0, share: 0 } as const;
        return [{ type: "send", to: owner, message: { ...message, seq: requestId, entries } }];
    }
}

function decide(requestId: number, isAdmitted: boolean, rule: LimitRule): Command {
    return {
        type: "decide",
        requestId,
        decision: isAdmitted
            ? { type: "admitted", token: { rule, grantedBy: undefined }, plentiful: false }
            : { type: "overLimit", retryAfterMs: 100 },
    };
}
