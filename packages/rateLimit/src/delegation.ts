import { findOwners } from "@galenaglade/fleet-state";
import { AllocatorSession, type DecidedEntry } from "./allocatorSession.js";
import {
    failbackProbePeriodMs,
    heartbeatPeriodMs,
    isolatedProbePeriodMs,
    isolatedRetryAfterMs,
    leaseMarginMs,
    leaseMs,
    noSharesRetryAfterMs,
    allocatorCandidateCount,
    retransmitPeriodMs,
    failbackDelayMs,
    unknownFailbackDelayMs,
    shareUnits,
    startupProbePeriodMs,
} from "./constants.js";
import { type IsolatedSlots } from "./isolatedSlots.js";
import { type LimitResponseMessage, type LimitRequestMessage } from "./messages.js";
import { type Decision, type GroupSnapshot, type LimitChange, type Token } from "./model.js";
import { type PendingRequest } from "./pendingRequest.js";

/** Receives the messages, decisions and changes of a delegation. */
export interface DelegationOutput {
    send(to: string, message: LimitRequestMessage): void;
    decide(request: PendingRequest, decision: Decision): void;
    logChange(change: LimitChange): void;
}

/** Options of a delegation. */
export interface DelegationOptions {
    readonly name: string;
    readonly incarnation: string;
    readonly group: number;
    readonly nextSeq: () => number;
    readonly slots: IsolatedSlots;
    readonly startedAtMs: number;
    /** Adds random jitter to a retry delay. */
    readonly addJitter: (retryAfterMs: number) => number;
    readonly output: DelegationOutput;
}

const oneSecondMs = 1_000;

/**
 * Manages a host's delegation of its share of one group: which allocator it requests tokens from, and which may hold
 * its share. The host can contact a new allocator at once, but delegates its share only when no other allocator can
 * hold it, that is after a confirmation or the end of the lease.
 */
export class Delegation {
    readonly #options: DelegationOptions;
    readonly #sessions = new Map<string, AllocatorSession>();
    /** Candidates for the allocator, in order of preference. */
    #candidates: readonly string[] = [];
    /** This host's share of each limit. */
    #hostShare = 0;
    #current: AllocatorSession | undefined;
    /** A preferred allocator that has responded, used once no token request is in flight. */
    #preferred: AllocatorSession | undefined;
    readonly #lostAtMs = new Map<string, number>();
    /** Latest time at which an allocator may hold a share of this host's previous process. */
    #previousLeaseEndMs: number;
    /** Allocators that have responded to this process, and thus dropped the share of the previous one. */
    readonly #respondedAllocators = new Set<string>();
    #waitingRequests: PendingRequest[] = [];
    readonly #pendingRequests = new Set<PendingRequest>();
    /** Time since which no allocator holds this host's share. */
    #shareFreeSinceMs: number;

    constructor(options: DelegationOptions) {
        this.#options = options;
        this.#previousLeaseEndMs = options.startedAtMs + leaseMs + leaseMarginMs;
        this.#shareFreeSinceMs = this.#previousLeaseEndMs;
    }

    /** Updates the names of all hosts among which limits are divided. */
    onRoster(names: readonly string[], nowMs: number): void {
        this.#candidates = findOwners(`rate limits ${this.#options.group}`, names, allocatorCandidateCount);
        this.#hostShare = names.includes(this.#options.name) ? Math.floor(shareUnits / names.length) / shareUnits : 0;
        for (const name of this.#lostAtMs.keys()) {
            if (!names.includes(name)) {
                this.#lostAtMs.delete(name);
            }
        }
        if (this.#current === undefined && this.#candidates.some(name => !this.#lostAtMs.has(name))) {
            this.#chooseAllocator(nowMs);
        }
    }

    enqueue(request: PendingRequest): void {
        this.#waitingRequests.push(request);
        this.#pendingRequests.add(request);
    }

    /** @returns whether the token can be returned to its allocator */
    giveBack({ grantedBy, rule }: Token): boolean {
        const session = grantedBy === undefined ? undefined : this.#sessions.get(grantedBy);
        session?.giveBack(rule, 1);
        return session !== undefined;
    }

    /** Refuses all waiting requests when the configuration no longer has limits. */
    refuseAll(nowMs: number): void {
        for (const request of this.#pendingRequests) {
            this.#refuse(request, isolatedRetryAfterMs);
        }
        this.expireRequests(nowMs);
    }

    /** @returns whether the response matched a message in flight */
    onResponse(response: LimitResponseMessage, nowMs: number): boolean {
        const session = this.#sessions.get(response.sender);
        const unanswered = session?.unansweredRequests() ?? [];
        const entries = session?.onResponse(response, nowMs);
        if (session === undefined || entries === undefined) {
            return false;
        }
        this.#respondedAllocators.add(session.allocator);
        if (response.leaving === true) {
            this.#abandonAllocator(session, unanswered, "leaving", nowMs);
            return true;
        }
        this.#onAllocatorResponse(session, nowMs);
        for (const entry of entries) {
            this.#applyEntry(session, entry, nowMs);
        }
        return true;
    }

    /** Performs all actions that are due. */
    advance(nowMs: number, wallMs: number): void {
        this.#endStartup(nowMs);
        this.expireRequests(nowMs);
        if (this.#current?.isTimedOut(nowMs) === true) {
            this.#abandonAllocator(this.#current, this.#current.unansweredRequests(), "unanswered", nowMs);
        }
        this.#moveToPreferred(nowMs);
        this.#sendProbes(nowMs);
        this.#requestTokens(nowMs);
        this.#decideBySlots(nowMs, wallMs);
    }

    /** @returns when the next action is due */
    nextDueAtMs(nowMs: number): number {
        let due = Infinity;
        for (const { deadlineMs } of this.#pendingRequests) {
            due = Math.min(due, deadlineMs);
        }
        for (const { isPending, notBeforeMs } of this.#waitingRequests) {
            if (isPending && notBeforeMs > nowMs) {
                due = Math.min(due, notBeforeMs);
            }
        }
        for (const name of this.#probeTargets()) {
            due = Math.min(due, this.#nextProbeAtMs(name, nowMs));
        }
        const current = this.#current;
        if (current !== undefined) {
            const nextMs = current.lastSentAtMs + (current.hasMessageInFlight ? retransmitPeriodMs : heartbeatPeriodMs);
            due = Math.min(due, nextMs, current.timeoutAtMs);
            if (this.#availableShare(nowMs) === 0 && this.#hostShare > 0) {
                due = Math.min(due, Math.max(nowMs, this.#shareFreeAtMs(nowMs)));
            }
        }
        return due;
    }

    /** State for metrics. */
    snapshot(): Omit<GroupSnapshot, "sharesHeld" | "delegators"> {
        const current = this.#current;
        const state = current === undefined ? "isolated" : current.delegatedShare > 0 ? "delegating" : "waiting";
        return { group: this.#options.group, allocator: current?.allocator, state };
    }

    /** The allocator, other than the current one, that may still hold the share. */
    #findShareHolder(nowMs: number): AllocatorSession | undefined {
        for (const session of this.#sessions.values()) {
            if (session !== this.#current && session.shareLeaseEndMs > nowMs) {
                return session;
            }
        }
        return undefined;
    }

    /** @returns when the share can be delegated to the current allocator, or used for time slots */
    #shareFreeAtMs(nowMs: number): number {
        const leaseEndMs = this.#findShareHolder(nowMs)?.shareLeaseEndMs ?? -Infinity;
        return Math.max(this.#previousLeaseEndMs, leaseEndMs);
    }

    #availableShare(nowMs: number): number {
        return this.#shareFreeAtMs(nowMs) > nowMs ? 0 : this.#hostShare;
    }

    /**
     * Ends the start-up phase once all candidates have dropped the share of the previous process; otherwise its leases
     * must end.
     */
    #endStartup(nowMs: number): void {
        const haveAllResponded = this.#candidates.length > 0
            && this.#candidates.every(name => this.#respondedAllocators.has(name));
        if (this.#previousLeaseEndMs > nowMs && haveAllResponded) {
            this.#previousLeaseEndMs = nowMs;
            this.#shareFreeSinceMs = nowMs;
        }
    }

    expireRequests(nowMs: number): void {
        for (const request of this.#pendingRequests) {
            if (!request.isPending) {
                this.#pendingRequests.delete(request);
            }
            else if (nowMs >= request.deadlineMs) {
                this.#refuse(request, Math.max(noSharesRetryAfterMs / 2, this.#shareFreeAtMs(nowMs) - nowMs));
            }
        }
        this.#waitingRequests = this.#waitingRequests.filter(({ isPending }) => isPending);
    }

    /** Handles an allocator that doesn't respond or shuts down. */
    #abandonAllocator(
        session: AllocatorSession,
        unanswered: readonly PendingRequest[],
        reason: string,
        nowMs: number,
    ): void {
        const { group, output } = this.#options;
        const hadResponded = session.hasResponded || reason === "leaving";
        this.#lostAtMs.set(session.allocator, hadResponded ? nowMs : nowMs - failbackDelayMs + unknownFailbackDelayMs);
        if (this.#preferred === session) {
            this.#preferred = undefined;
        }
        if (session !== this.#current) {
            return;
        }
        output.logChange({ type: "allocatorLost", group, allocator: session.allocator, reason });
        this.#requeue(unanswered);
        this.#current = undefined;
        this.#chooseAllocator(nowMs);
    }

    #requeue(requests: readonly PendingRequest[]): void {
        this.#waitingRequests.unshift(...requests.filter(({ isPending }) => isPending));
    }

    #chooseAllocator(nowMs: number): void {
        const name = this.#candidates.find(each => this.#isUsable(each, nowMs));
        if (name === undefined) {
            this.#shareFreeSinceMs = Math.max(nowMs, this.#shareFreeAtMs(nowMs));
            this.#options.output.logChange({ type: "isolated", group: this.#options.group });
            return;
        }
        this.#switchTo(this.#sessionFor(name), nowMs);
    }

    #switchTo(session: AllocatorSession, nowMs: number): void {
        this.#requeue(this.#current?.unansweredRequests() ?? []);
        this.#current = session;
        session.activate(nowMs);
        const { group, output } = this.#options;
        const rank = this.#candidates.indexOf(session.allocator);
        output.logChange({ type: "allocatorChosen", group, allocator: session.allocator, rank });
    }

    #isUsable(name: string, nowMs: number): boolean {
        return nowMs - (this.#lostAtMs.get(name) ?? -Infinity) >= failbackDelayMs;
    }

    /** Handles a response of an allocator that may not be the current one. */
    #onAllocatorResponse(session: AllocatorSession, nowMs: number): void {
        if (session === this.#current) {
            return;
        }
        const isHolder = session.shareLeaseEndMs > nowMs && !session.isReleasing;
        if (isHolder || (this.#current === undefined && !session.isReleasing)) {
            // It responded late, but still holds this host's share.
            this.#switchTo(session, nowMs);
        }
        else if (this.#isPreferred(session.allocator) && this.#isUsable(session.allocator, nowMs)) {
            this.#preferred = session;
        }
    }

    #isPreferred(name: string): boolean {
        const rank = this.#candidates.indexOf(name);
        const currentRank = this.#current === undefined ? -1 : this.#candidates.indexOf(this.#current.allocator);
        return rank >= 0 && (currentRank < 0 || rank < currentRank);
    }

    #moveToPreferred(nowMs: number): void {
        const [previous, preferred] = [this.#current, this.#preferred];
        if (preferred === undefined || previous === undefined || previous.isAwaitingTokens) {
            return;
        }
        this.#preferred = undefined;
        if (!this.#isPreferred(preferred.allocator) || !this.#isUsable(preferred.allocator, nowMs)) {
            return;
        }
        this.#switchTo(preferred, nowMs);
        if (previous.shareLeaseEndMs > nowMs) {
            previous.isReleasing = true;
            this.#send(previous, previous.createMessage(0, [], nowMs));
        }
    }

    /** @returns names of the allocators, other than the current one, that may need a probe */
    #probeTargets(): ReadonlySet<string> {
        const names = new Set([...this.#candidates, ...this.#sessions.keys()]);
        if (this.#current !== undefined) {
            names.delete(this.#current.allocator);
        }
        return names;
    }

    #nextProbeAtMs(name: string, nowMs: number): number {
        const session = this.#sessions.get(name);
        const lastSentAtMs = session?.lastSentAtMs ?? -Infinity;
        if (session !== undefined && session.shareLeaseEndMs > nowMs) {
            return lastSentAtMs + retransmitPeriodMs;
        }
        if (!this.#candidates.includes(name)) {
            return Infinity;
        }
        if (this.#previousLeaseEndMs > nowMs && !this.#respondedAllocators.has(name)) {
            return lastSentAtMs + startupProbePeriodMs;
        }
        if (this.#current === undefined) {
            return lastSentAtMs + isolatedProbePeriodMs;
        }
        const lostAtMs = this.#lostAtMs.get(name) ?? -Infinity;
        return this.#isPreferred(name)
            ? Math.max(lastSentAtMs + failbackProbePeriodMs, lostAtMs + failbackDelayMs)
            : Infinity;
    }

    #sendProbes(nowMs: number): void {
        for (const name of this.#probeTargets()) {
            const atMs = this.#nextProbeAtMs(name, nowMs);
            if (atMs <= nowMs) {
                const session = this.#sessionFor(name);
                // An allocator that may still hold the share gets the same message again, which doesn't extend its
                // lease.
                const repeated = session.shareLeaseEndMs > nowMs ? session.retransmit(nowMs) : undefined;
                this.#send(session, repeated ?? session.createMessage(0, [], nowMs));
            }
            else if (atMs === Infinity && name !== this.#preferred?.allocator) {
                this.#sessions.delete(name);
            }
        }
    }

    #requestTokens(nowMs: number): void {
        const current = this.#current;
        if (current === undefined || current.isAwaitingTokens) {
            if (current !== undefined && nowMs - current.lastSentAtMs >= retransmitPeriodMs) {
                this.#send(current, current.retransmit(nowMs));
            }
            return;
        }
        const share = this.#availableShare(nowMs);
        const ready = current.hasResponded ? this.#takeReadyRequests(nowMs) : [];
        if (ready.length > 0) {
            this.#send(current, current.createMessage(share, ready, nowMs));
            this.#waitingRequests.unshift(...ready);
        }
        else if (current.hasMessageInFlight) {
            if (nowMs - current.lastSentAtMs >= retransmitPeriodMs) {
                this.#send(current, current.retransmit(nowMs));
            }
        }
        else if (
            nowMs - current.lastSentAtMs >= heartbeatPeriodMs
            || (share > 0 && current.delegatedShare === 0 && current.hasResponded)
        ) {
            this.#send(current, current.createMessage(share, [], nowMs));
        }
    }

    #takeReadyRequests(nowMs: number): PendingRequest[] {
        const ready = this.#waitingRequests.filter(({ isPending, notBeforeMs }) => isPending && notBeforeMs <= nowMs);
        if (ready.length > 0) {
            this.#waitingRequests = this.#waitingRequests.filter(({ notBeforeMs }) => notBeforeMs > nowMs);
        }
        return ready;
    }

    /** Decides requests by time slots while no allocator can be reached. */
    #decideBySlots(nowMs: number, wallMs: number): void {
        if (this.#current !== undefined || this.#waitingRequests.length === 0) {
            return;
        }
        const freeAtMs = this.#shareFreeAtMs(nowMs);
        for (const request of this.#takeReadyRequests(nowMs)) {
            if (freeAtMs > nowMs) {
                this.#requeueOrRefuse(request, freeAtMs - nowMs, nowMs);
            }
            else if (this.#options.slots.tryTake(request.rule, this.#shareFreeSinceMs, nowMs, wallMs)) {
                const token = { rule: request.rule, grantedBy: undefined };
                this.#decide(request, { type: "admitted", token, plentiful: false });
            }
            else {
                this.#refuse(request, isolatedRetryAfterMs);
            }
        }
    }

    #applyEntry(
        session: AllocatorSession,
        { granted, retryAfterMs, plentiful, over, requests }: DecidedEntry,
        nowMs: number,
    ): void {
        let remaining = granted;
        let refused = 0;
        for (const request of requests) {
            if (!request.isPending) {
                continue;
            }
            const { rule } = request;
            const waitMs = retryAfterMs + refused * oneSecondMs / rule.perSecond;
            if (remaining > 0) {
                remaining--;
                this.#decide(request, { type: "admitted", token: { rule, grantedBy: session.allocator }, plentiful });
            }
            else if (over) {
                refused++;
                this.#decide(request, { type: "overLimit", retryAfterMs: this.#options.addJitter(waitMs) });
            }
            else {
                refused++;
                this.#requeueOrRefuse(request, Math.max(waitMs, this.#shareFreeAtMs(nowMs) - nowMs), nowMs);
            }
        }
        const rule = requests[0]?.rule;
        if (remaining > 0 && rule !== undefined) {
            session.giveBack(rule, remaining);
        }
    }

    #requeueOrRefuse(request: PendingRequest, waitMs: number, nowMs: number): void {
        if (nowMs + waitMs < request.deadlineMs) {
            request.notBeforeMs = nowMs + waitMs;
            this.#waitingRequests.push(request);
        }
        else {
            this.#refuse(request, waitMs);
        }
    }

    #refuse(request: PendingRequest, retryAfterMs: number): void {
        this.#decide(request, { type: "unsure", retryAfterMs: this.#options.addJitter(retryAfterMs) });
    }

    #decide(request: PendingRequest, decision: Decision): void {
        request.isPending = false;
        this.#pendingRequests.delete(request);
        this.#options.output.decide(request, decision);
    }

    #sessionFor(name: string): AllocatorSession {
        const { name: self, incarnation, group, nextSeq } = this.#options;
        const session = this.#sessions.get(name)
            ?? new AllocatorSession({ allocator: name, name: self, incarnation, group, nextSeq });
        this.#sessions.set(name, session);
        return session;
    }

    #send(session: AllocatorSession, message: LimitRequestMessage | undefined): void {
        if (message !== undefined) {
            this.#options.output.send(session.allocator, message);
        }
    }
}
