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

/** Who the host is. */
export interface RateLimiterOptions {
    /** As in the host's registration. */
    readonly name: string;
    /** Random id of this process lifetime, up to 48 characters. */
    readonly incarnation: string;
    /** Seeded source of numbers from 0 to below 1. */
    readonly random: () => number;
    /** When the process was started, on the monotonic clock of all `nowMs`; not after the construction. */
    readonly startedAtMs: number;
    /** Allowed above the limits; by default {@link defaultTolerance}. */
    readonly tolerance?: LimitTolerance | undefined;
}

/** A group of workspaces: whom this host asks, and what it allocates itself. */
interface Group {
    readonly delegation: Delegation;
    readonly allocator: Allocator;
    sharesNoted: number;
}

/**
 * Keeps the rate limits of workspaces over all hosts together, for one host: asks the allocators for tokens, and is an allocator itself
 * where it was chosen. `nowMs` is monotonic, `wallMs` the time of day. Each method's commands have to be carried out in their order, and
 * the next tick may be due earlier after each call.
 */
export class RateLimiter {
    readonly #name: string;
    readonly #life: string;
    readonly #random: () => number;
    readonly #tolerance: LimitTolerance;
    readonly #slots: IsolatedSlots;
    readonly #groups: readonly Group[];
    readonly #open = new Map<number, PendingRequest>();
    #isActive = false;
    #commands: Command[] = [];
    /** Messages of this host to itself. */
    #local: LimitMessage[] = [];
    #changes: LimitChange[] = [];
    #requests = 0;
    #messages = 0;
    #pauses = 0;
    #wallOffsetMs: number | undefined;
    #sent = 0;
    #ignored = 0;

    /** @param options - who the host is */
    constructor({ name, incarnation, random, startedAtMs, tolerance = defaultTolerance }: RateLimiterOptions) {
        this.#tolerance = tolerance;
        this.#name = name;
        this.#life = incarnation;
        this.#random = random;
        this.#slots = new IsolatedSlots(name);
        this.#groups = Array.from({ length: groupCount }, (_, group) => ({
            delegation: new Delegation({
                name,
                incarnation,
                group,
                startedAtMs,
                nextSeq: () => this.#messages++,
                slots: this.#slots,
                addJitter: retryAfterMs => this.#jitter(retryAfterMs),
                output: {
                    send: (to, message) => this.#send(to, message),
                    decide: (request, decision) => this.#decide(request, decision),
                    logChange: change => this.#note(change),
                },
            }),
            allocator: new Allocator({ name, incarnation, group }, startedAtMs),
            sharesNoted: 0,
        }));
    }

    /** @returns the request's id and the commands; the decision is among them or comes with a later call */
    request(
        request: TokenRequest,
        nowMs: number,
        wallMs: number,
    ): { readonly requestId: number; readonly commands: readonly Command[]; } {
        this.#checkClocks(nowMs, wallMs);
        const perSecond = resolveAdmittedRate(request, this.#tolerance);
        const pending = new PendingRequest(this.#requests++, { ...request, perSecond }, nowMs);
        const group = this.#groups[groupOf(request.workspace)];
        if (!this.#isActive || group === undefined) {
            this.#decide(pending, { type: "unsure", retryAfterMs: this.#jitter(isolatedRetryAfterMs) });
            return { requestId: pending.id, commands: this.#takeCommands() };
        }
        this.#open.set(pending.id, pending);
        group.delegation.enqueue(pending);
        return { requestId: pending.id, commands: this.#run([group], nowMs) };
    }

    /** The request's caller has left before the decision; none will come, and a token granted for it goes back. */
    cancel(requestId: number): void {
        const pending = this.#open.get(requestId);
        if (pending !== undefined) {
            pending.isPending = false;
            this.#open.delete(requestId);
        }
    }

    /** A granted token was not used: its request never ran, and never will. It goes back with the next message. */
    giveBack(token: Token): void {
        this.#groups[groupOf(token.rule.workspace)]?.delegation.giveBack(token);
    }

    /** A datagram has come, as parsed JSON. `from` is the host that the datagram's address belongs to. */
    onMessage(from: string, json: unknown, nowMs: number, wallMs: number): readonly Command[] {
        this.#checkClocks(nowMs, wallMs);
        const message = parseLimitMessage(json);
        const group = message === undefined ? undefined : this.#groups[message.group];
        if (message === undefined || group === undefined || message.sender !== from) {
            this.#ignored++;
            return [];
        }
        if (this.#isActive) {
            // What is overdue goes first: an answer that waited while this process stood still grants nothing.
            group.delegation.expireRequests(nowMs);
        }
        this.#receive(group, message, nowMs);
        return message.type === "ask" ? this.#takeCommands() : this.#run([group], nowMs);
    }

    /** Names of all hosts that count by the registrations, this one among them if it does; the same array while they are the same. */
    onRoster(names: readonly string[], nowMs: number): readonly Command[] {
        this.#slots.onRoster(names, nowMs);
        for (const { delegation } of this.#groups) {
            delegation.onRoster(names, nowMs);
        }
        return this.#run(this.#groups, nowMs);
    }

    /**
     * Whether the configuration in force has limits; inactive at first. While inactive this host asks nothing, but answers hosts that have
     * another version.
     */
    setActive(active: boolean, nowMs: number): readonly Command[] {
        if (this.#isActive && !active) {
            this.#groups.forEach(({ delegation }) => delegation.refuseAll(nowMs));
        }
        this.#isActive = active;
        return this.#run(this.#groups, nowMs);
    }

    /** To be called at {@link RateLimiter.nextTickMs} or soon after. */
    tick(nowMs: number, wallMs: number): readonly Command[] {
        this.#checkClocks(nowMs, wallMs);
        for (const [i, group] of this.#groups.entries()) {
            group.allocator.advance(nowMs);
            const shares = group.allocator.sharesHeld;
            if (Math.abs(shares - group.sharesNoted) >= notedChange || (shares === 0) !== (group.sharesNoted === 0)) {
                group.sharesNoted = shares;
                this.#note({ type: "sharesHeld", group: i, shares, hosts: group.allocator.delegators });
            }
        }
        return this.#run(this.#groups, nowMs);
    }

    /** @returns how long until the next tick is due, in milliseconds; `undefined` where none is */
    nextTickMs(nowMs: number): number | undefined {
        if (!this.#isActive) {
            return undefined;
        }
        const dueAtMs = Math.min(...this.#groups.map(({ delegation }) => delegation.nextDueAtMs(nowMs)));
        return dueAtMs === Infinity ? undefined : Math.max(0, dueAtMs - nowMs);
    }

    /**
     * The process's host was suspended, with its monotonic clock. Also found by the clocks that other methods are given; to be called
     * before any message that waited meanwhile.
     */
    onSuspended(nowMs: number): readonly Command[] {
        this.#pauses++;
        this.#slots.onSuspended(nowMs);
        for (const { allocator } of this.#groups) {
            allocator.onSuspended(`${this.#life}.${this.#pauses}`, nowMs);
        }
        return [];
    }

    /** The process is about to end as planned: the shares that it holds go elsewhere. It may go on asking for tokens. */
    stop(nowMs: number): readonly Command[] {
        for (const { allocator } of this.#groups) {
            for (const { to, message } of allocator.releaseShares(nowMs)) {
                this.#send(to, message);
            }
        }
        return this.#run(this.#groups, nowMs);
    }

    /** @returns changes since the last call, for the log; bounded */
    drainChanges(): readonly LimitChange[] {
        return this.#changes.splice(0);
    }

    /** @returns the present state, for metrics */
    snapshot(nowMs: number): LimiterSnapshot {
        this.#groups.forEach(({ allocator }) => allocator.advance(nowMs));
        return {
            groups: this.#groups.map(({ delegation, allocator }) => ({
                ...delegation.snapshot(),
                sharesHeld: allocator.sharesHeld,
                delegators: allocator.delegators,
            })),
            workspaces: this.#groups.flatMap(({ allocator }) => allocator.snapshot()).slice(0, maxSnapshotWorkspaces),
            messagesSent: this.#sent,
            messagesIgnored: this.#ignored,
        };
    }

    /** The time of day runs ahead where the host was suspended. A step of that clock looks the same, and is rare. */
    #checkClocks(nowMs: number, wallMs: number): void {
        const offsetMs = wallMs - nowMs;
        if (this.#wallOffsetMs !== undefined && offsetMs - this.#wallOffsetMs > suspensionThresholdMs) {
            this.onSuspended(nowMs);
        }
        this.#wallOffsetMs = offsetMs;
    }

    #receive(group: Group, message: LimitMessage, nowMs: number): void {
        if (message.type === "ask") {
            const answer = group.allocator.onRequest(message, nowMs);
            if (answer === undefined) {
                this.#ignored++;
            }
            else {
                this.#send(message.sender, answer);
            }
        }
        else if (message.askerLife !== this.#life || !group.delegation.onResponse(message, nowMs)) {
            this.#ignored++;
        }
    }

    /** Does what is due, and what this host has to say to itself. */
    #run(groups: readonly Group[], nowMs: number): readonly Command[] {
        const wallMs = nowMs + (this.#wallOffsetMs ?? 0);
        if (this.#isActive) {
            groups.forEach(({ delegation }) => delegation.advance(nowMs, wallMs));
        }
        for (let message = this.#local.shift(); message !== undefined; message = this.#local.shift()) {
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
            this.#local.push(message);
            return;
        }
        this.#sent++;
        this.#commands.push({ type: "send", to, message });
    }

    #decide(request: PendingRequest, decision: Decision): void {
        this.#open.delete(request.id);
        this.#commands.push({ type: "decide", requestId: request.id, decision });
    }

    #note(change: LimitChange): void {
        if (this.#changes.length < maxPendingChanges) {
            this.#changes.push(change);
        }
    }

    #jitter(retryAfterMs: number): number {
        return Math.ceil(retryAfterMs * (1 + retryJitter * this.#random()));
    }

    #takeCommands(): readonly Command[] {
        const commands = this.#commands;
        this.#commands = [];
        return commands;
    }
}

/** Shares that come or go before the log hears of it. */
const notedChange = 0.1;

/** @returns the group that a workspace belongs to; the same on all hosts */
export function groupOf(workspace: string): number {
    return murmurHash(workspace).result() % groupCount;
}
