import { type Command, type LimitChange, type LimiterDescription, type Token, type TokenRequest } from "./model.js";

/** Who the host is. */
export interface RateLimiterOptions {
    /** As in the host's registration. */
    readonly name: string;
    /** Random id of this process lifetime, up to 48 characters. */
    readonly life: string;
    /** Seeded source of numbers from 0 to below 1. */
    readonly random: () => number;
    /** When the process was started, on the monotonic clock of all `nowMs`; earlier than the construction. */
    readonly startedAtMs: number;
}

/**
 * Keeps the rate limits of workspaces over all hosts together, for one host: asks the allocators for tokens, and is an allocator itself
 * where it was chosen. `nowMs` is monotonic, `wallMs` the time of day. Each method's commands have to be carried out in their order.
 */
export class RateLimiter {
    /** @param options - who the host is */
    constructor(private readonly options: RateLimiterOptions) {}

    /** @returns the request's id and the commands; the decision is among them or comes with a later call */
    request(
        request: TokenRequest,
        nowMs: number,
        wallMs: number,
    ): { readonly requestId: number; readonly commands: readonly Command[]; } {
        return { requestId: 0, commands: [] };
    }

    /** The request's caller has left before the decision; none will come, and a token granted for it goes back. */
    cancel(requestId: number): void {
    }

    /** A granted token was not used: its request never ran, and never will. */
    giveBack(token: Token, nowMs: number): void {
    }

    /** A datagram has come, as parsed JSON. `from` is the host that the datagram's address belongs to. */
    onMessage(from: string, json: unknown, nowMs: number, wallMs: number): readonly Command[] {
        return [];
    }

    /** Names of all hosts that count by the registrations, this one among them if it does. */
    onRoster(names: readonly string[], nowMs: number): readonly Command[] {
        return [];
    }

    /** Whether the configuration in force has limits; while it has none, nothing is sent. Inactive at first. */
    setActive(active: boolean, nowMs: number): readonly Command[] {
        return [];
    }

    /** To be called at {@link RateLimiter.nextTickMs} or soon after. */
    tick(nowMs: number, wallMs: number): readonly Command[] {
        return [];
    }

    /** @returns how long until the next tick is due, in milliseconds; `undefined` where none is */
    nextTickMs(nowMs: number): number | undefined {
        return undefined;
    }

    /** The process or its host was suspended: its monotonic clock and the time of day disagree. */
    onPaused(nowMs: number): readonly Command[] {
        return [];
    }

    /** The process is about to end as planned: its shares go elsewhere. It may go on asking for tokens. */
    stop(nowMs: number): readonly Command[] {
        return [];
    }

    /** @returns changes since the last call, for the log; bounded */
    takeChanges(): readonly LimitChange[] {
        return [];
    }

    /** @returns the present state, for metrics */
    describe(nowMs: number): LimiterDescription {
        return { groups: [], workspaces: [], messagesSent: 0, messagesIgnored: 0 };
    }
}
