import murmurHash from "imurmurhash";
import { defaultTolerance, type LimitTolerance, resolveAdmittedRate } from "./admittedRate.js";
import { Allocator } from "./allocator.js";
import {
    suspensionThresholdMs,
    groupCount,
    isolatedRetryAfterMs,
    maxPendingChanges,
    maxSnapshotWorkspaces,
    retryJitter,
} from "./constants.js";
import { Delegation } from "./delegation.js";
import { IsolatedSlots } from "./isolatedSlots.js";
import { type LimitMessage, parseLimitMessage } from "./messages.js";
import {
    type Command,
    type Decision,
    type LimitChange,
    type LimiterSnapshot,
    type Token,
    type TokenRequest,
} from "./model.js";
import { PendingRequest } from "./pendingRequest.js";

/** Options of a rate limiter. */
export interface RateLimiterOptions {
    /** Host name as in its registration. */
    readonly name: string;
    /** Random id of this process incarnation, up to 48 characters. */
    readonly incarnation: string;
    /** Seeded random numbers from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    /** Start time of the process on the monotonic clock that all `nowMs` use; not later than the construction. */
    readonly startedAtMs: number;
    /** Allowed excess over the limits; {@link defaultTolerance} by default. */
    readonly tolerance?: LimitTolerance | undefined;
}

/** A group of workspaces, with this host's delegation and its own allocator. */
interface Group {
    readonly delegation: Delegation;
    readonly allocator: Allocator;
    loggedShares: number;
}

/**
 * Enforces distributed rate limits of workspaces on one host. It requests tokens from the allocators, and is an
 * allocator itself for hosts that have chosen it. `nowMs` is monotonic time, `wallMs` wall-clock time. The commands
 * returned by a method must be carried out in order, and after each call the next tick may be due earlier.
 */
export class RateLimiter {
    readonly #name: string;
    readonly #incarnation: string;
    readonly #random: () => number;
    readonly #tolerance: LimitTolerance;
    readonly #slots: IsolatedSlots;
    readonly #groups: readonly Group[];
    readonly #pendingRequests = new Map<number, PendingRequest>();
    #isActive = false;
    #commands: Command[] = [];
    /** Messages from this host to itself. */
    #localMessages: LimitMessage[] = [];
    #changes: LimitChange[] = [];
    #requestCount = 0;
    #messageCount = 0;
    #suspensionCount = 0;
    #wallOffsetMs: number | undefined;
    #sentMessages = 0;
    #ignoredMessages = 0;

    /** @param options - identity of the host, and the tolerance */
    constructor({ name, incarnation, random, startedAtMs, tolerance = defaultTolerance }: RateLimiterOptions) {
        this.#tolerance = tolerance;
        this.#name = name;
        this.#incarnation = incarnation;
        this.#random = random;
        this.#slots = new IsolatedSlots(name);
        this.#groups = Array.from({ length: groupCount }, (_, group) => ({
            delegation: new Delegation({
                name,
                incarnation,
                group,
                startedAtMs,
                nextSeq: () => this.#messageCount++,
                slots: this.#slots,
                addJitter: retryAfterMs => this.#addJitter(retryAfterMs),
                output: {
                    send: (to, message) => this.#send(to, message),
                    decide: (request, decision) => this.#decide(request, decision),
                    logChange: change => this.#logChange(change),
                },
            }),
            allocator: new Allocator({ name, incarnation, group }, startedAtMs),
            loggedShares: 0,
        }));
    }

    /** @returns the request's id and commands, which include the decision unless a later call returns it */
    request(
        request: TokenRequest,
        nowMs: number,
        wallMs: number,
    ): { readonly requestId: number; readonly commands: readonly Command[]; } {
        this.#detectSuspension(nowMs, wallMs);
        const perSecond = resolveAdmittedRate(request, this.#tolerance);
        const pending = new PendingRequest(this.#requestCount++, { ...request, perSecond }, nowMs);
        const group = this.#groups[groupOf(request.workspace)];
        if (!this.#isActive || group === undefined) {
            this.#decide(pending, { type: "unsure", retryAfterMs: this.#addJitter(isolatedRetryAfterMs) });
            return { requestId: pending.id, commands: this.#takeCommands() };
        }
        this.#pendingRequests.set(pending.id, pending);
        group.delegation.enqueue(pending);
        return { requestId: pending.id, commands: this.#advance([group], nowMs) };
    }

    /** Cancels a request that awaits its decision. No decision follows, and a token granted for it is returned. */
    cancel(requestId: number): void {
        const pending = this.#pendingRequests.get(requestId);
        if (pending !== undefined) {
            pending.isPending = false;
            this.#pendingRequests.delete(requestId);
        }
    }

    /** Returns a token whose request was not and won't be executed; it is sent back with the next message. */
    giveBack(token: Token): void {
        this.#groups[groupOf(token.rule.workspace)]?.delegation.giveBack(token);
    }

    /** Handles a received datagram, given as parsed JSON. `from` is the host that its source address belongs to. */
    onMessage(from: string, json: unknown, nowMs: number, wallMs: number): readonly Command[] {
        this.#detectSuspension(nowMs, wallMs);
        const message = parseLimitMessage(json);
        const group = message === undefined ? undefined : this.#groups[message.group];
        if (message === undefined || group === undefined || message.sender !== from) {
            this.#ignoredMessages++;
            return [];
        }
        if (this.#isActive) {
            // Expires overdue requests first, so that a response that was waiting while this process was blocked grants
            // nothing.
            group.delegation.expireRequests(nowMs);
        }
        this.#receive(group, message, nowMs);
        return message.type === "ask" ? this.#takeCommands() : this.#advance([group], nowMs);
    }

    /**
     * Updates the names of all registered hosts, including this one if it is registered; an unchanged list must be the
     * same array.
     */
    onRoster(names: readonly string[], nowMs: number): readonly Command[] {
        this.#slots.onRoster(names, nowMs);
        for (const { delegation } of this.#groups) {
            delegation.onRoster(names, nowMs);
        }
        return this.#advance(this.#groups, nowMs);
    }

    /**
     * Sets whether the configuration in force has limits; initially inactive. While inactive, this host requests no
     * tokens, but still responds to hosts that have another configuration version.
     */
    setActive(active: boolean, nowMs: number): readonly Command[] {
        if (this.#isActive && !active) {
            this.#groups.forEach(({ delegation }) => delegation.refuseAll(nowMs));
        }
        this.#isActive = active;
        return this.#advance(this.#groups, nowMs);
    }

    /** Performs timed actions; to be called as soon as {@link RateLimiter.nextTickMs} has elapsed. */
    tick(nowMs: number, wallMs: number): readonly Command[] {
        this.#detectSuspension(nowMs, wallMs);
        for (const [i, group] of this.#groups.entries()) {
            group.allocator.advance(nowMs);
            const shares = group.allocator.sharesHeld;
            if (
                Math.abs(shares - group.loggedShares) >= minLoggedShareChange
                || (shares === 0) !== (group.loggedShares === 0)
            ) {
                group.loggedShares = shares;
                this.#logChange({ type: "sharesHeld", group: i, shares, hosts: group.allocator.delegators });
            }
        }
        return this.#advance(this.#groups, nowMs);
    }

    /** @returns time until the next tick is due, in milliseconds; `undefined` if none is */
    nextTickMs(nowMs: number): number | undefined {
        if (!this.#isActive) {
            return undefined;
        }
        const dueAtMs = Math.min(...this.#groups.map(({ delegation }) => delegation.nextDueAtMs(nowMs)));
        return dueAtMs === Infinity ? undefined : Math.max(0, dueAtMs - nowMs);
    }

    /**
     * Handles a suspension of the host during which its monotonic clock stopped. Other methods detect this by the
     * clocks passed to them too; if it is known otherwise, call this before handling messages that were received during
     * the suspension.
     */
    onSuspended(nowMs: number): readonly Command[] {
        this.#suspensionCount++;
        this.#slots.onSuspended(nowMs);
        for (const { allocator } of this.#groups) {
            allocator.onSuspended(`${this.#incarnation}.${this.#suspensionCount}`, nowMs);
        }
        return [];
    }

    /**
     * Prepares for a planned stop: drops the shares that this host holds as an allocator. It can still request tokens.
     */
    stop(nowMs: number): readonly Command[] {
        for (const { allocator } of this.#groups) {
            for (const { to, message } of allocator.releaseShares(nowMs)) {
                this.#send(to, message);
            }
        }
        return this.#advance(this.#groups, nowMs);
    }

    /** @returns changes since the previous call, for the log; bounded */
    drainChanges(): readonly LimitChange[] {
        return this.#changes.splice(0);
    }

    /** @returns the current state, for metrics */
    snapshot(nowMs: number): LimiterSnapshot {
        this.#groups.forEach(({ allocator }) => allocator.advance(nowMs));
        return {
            groups: this.#groups.map(({ delegation, allocator }) => ({
                ...delegation.snapshot(),
                sharesHeld: allocator.sharesHeld,
                delegators: allocator.delegators,
            })),
            workspaces: this.#groups.flatMap(({ allocator }) => allocator.snapshot()).slice(0, maxSnapshotWorkspaces),
            messagesSent: this.#sentMessages,
            messagesIgnored: this.#ignoredMessages,
        };
    }

    /**
     * Detects a suspension by an advance of the wall clock. A forward step of the wall clock looks the same, but is
     * rare.
     */
    #detectSuspension(nowMs: number, wallMs: number): void {
        const offsetMs = wallMs - nowMs;
        if (this.#wallOffsetMs !== undefined && offsetMs - this.#wallOffsetMs > suspensionThresholdMs) {
            this.onSuspended(nowMs);
        }
        this.#wallOffsetMs = offsetMs;
    }

    #receive(group: Group, message: LimitMessage, nowMs: number): void {
        if (message.type === "ask") {
            const response = group.allocator.onRequest(message, nowMs);
            if (response === undefined) {
                this.#ignoredMessages++;
            }
            else {
                this.#send(message.sender, response);
            }
        }
        else if (message.askerLife !== this.#incarnation || !group.delegation.onResponse(message, nowMs)) {
            this.#ignoredMessages++;
        }
    }

    /** Performs due actions, and handles this host's messages to itself. */
    #advance(groups: readonly Group[], nowMs: number): readonly Command[] {
        const wallMs = nowMs + (this.#wallOffsetMs ?? 0);
        if (this.#isActive) {
            groups.forEach(({ delegation }) => delegation.advance(nowMs, wallMs));
        }
        for (let message = this.#localMessages.shift(); message !== undefined; message = this.#localMessages.shift()) {
            const group = this.#groups[message.group];
            if (group !== undefined) {
                this.#receive(group, message, nowMs);
                if (this.#isActive && message.type === "answer") {
                    group.delegation.advance(nowMs, wallMs);
                }
            }
        }
        return this.#takeCommands();
    }

    #send(to: string, message: LimitMessage): void {
        if (to === this.#name) {
            this.#localMessages.push(message);
            return;
        }
        this.#sentMessages++;
        this.#commands.push({ type: "send", to, message });
    }

    #decide(request: PendingRequest, decision: Decision): void {
        this.#pendingRequests.delete(request.id);
        this.#commands.push({ type: "decide", requestId: request.id, decision });
    }

    #logChange(change: LimitChange): void {
        if (this.#changes.length < maxPendingChanges) {
            this.#changes.push(change);
        }
    }

    #addJitter(retryAfterMs: number): number {
        return Math.ceil(retryAfterMs * (1 + retryJitter * this.#random()));
    }

    #takeCommands(): readonly Command[] {
        const commands = this.#commands;
        this.#commands = [];
        return commands;
    }
}

/** Minimum change of the held shares that is logged. */
const minLoggedShareChange = 0.1;

/** @returns the group that a workspace belongs to; the same on all hosts */
export function groupOf(workspace: string): number {
    return murmurHash(workspace).result() % groupCount;
}
