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
        const link = grantedBy === undefined ? undefined : this.#sessions.get(grantedBy);
        link?.giveBack(rule, 1);
        return link !== undefined;
    }

    /** Refuses all waiting requests when the configuration no longer has limits. */
    refuseAll(nowMs: number): void {
        for (const request of this.#pendingRequests) {
            this.#refuse(request, isolatedRetryAfterMs);
        }
        this.expireRequests(nowMs);
    }

    /** @returns whether the response matched a message in flight */
    onResponse(answer: LimitResponseMessage, nowMs: number): boolean {
        const link = this.#sessions.get(answer.sender);
        const unanswered = link?.unansweredRequests() ?? [];
        const entries = link?.onResponse(answer, nowMs);
        if (link === undefined || entries === undefined) {
            return false;
        }
        this.#respondedAllocators.add(link.allocator);
        if (answer.leaving === true) {
            this.#abandonAllocator(link, unanswered, "leaving", nowMs);
            return true;
        }
        this.#onAllocatorResponse(link, nowMs);
        for (const entry of entries) {
            this.#applyEntry(link, entry, nowMs);
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
        for (const link of this.#sessions.values()) {
            if (link !== this.#current && link.shareLeaseEndMs > nowMs) {
                return link;
            }
        }
        return undefined;
    }

    /** @returns when the share can be delegated to the current allocator, or used for time slots */
    #shareFreeAtMs(nowMs: number): number {
        const heldUntilMs = this.#findShareHolder(nowMs)?.shareLeaseEndMs ?? -Infinity;
        return Math.max(this.#previousLeaseEndMs, heldUntilMs);
    }

    #availableShare(nowMs: number): number {
        return this.#shareFreeAtMs(nowMs) > nowMs ? 0 : this.#hostShare;
    }

    /**
     * Ends the start-up phase once all candidates have dropped the share of the previous process; otherwise its leases
     * must end.
     */
    #endStartup(nowMs: number): void {
        const isGreeted = this.#candidates.length > 0
            && this.#candidates.every(name => this.#respondedAllocators.has(name));
        if (this.#previousLeaseEndMs > nowMs && isGreeted) {
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
        link: AllocatorSession,
        unanswered: readonly PendingRequest[],
        reason: string,
        nowMs: number,
    ): void {
        const { group, output } = this.#options;
        const wasKnown = link.hasResponded || reason === "leaving";
        this.#lostAtMs.set(link.allocator, wasKnown ? nowMs : nowMs - failbackDelayMs + unknownFailbackDelayMs);
        if (this.#preferred === link) {
            this.#preferred = undefined;
        }
        if (link !== this.#current) {
            return;
        }
        output.logChange({ type: "allocatorLost", group, allocator: link.allocator, reason });
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

    #switchTo(link: AllocatorSession, nowMs: number): void {
        this.#requeue(this.#current?.unansweredRequests() ?? []);
        this.#current = link;
        link.activate(nowMs);
        const { group, output } = this.#options;
        const rank = this.#candidates.indexOf(link.allocator);
        output.logChange({ type: "allocatorChosen", group, allocator: link.allocator, rank });
    }

    #isUsable(name: string, nowMs: number): boolean {
        return nowMs - (this.#lostAtMs.get(name) ?? -Infinity) >= failbackDelayMs;
    }

    /** Handles a response of an allocator that may not be the current one. */
    #onAllocatorResponse(link: AllocatorSession, nowMs: number): void {
        if (link === this.#current) {
            return;
        }
        const isHolder = link.shareLeaseEndMs > nowMs && !link.isReleasing;
        if (isHolder || (this.#current === undefined && !link.isReleasing)) {
            // It responded late, but still holds this host's share.
            this.#switchTo(link, nowMs);
        }
        else if (this.#isPreferred(link.allocator) && this.#isUsable(link.allocator, nowMs)) {
            this.#preferred = link;
        }
    }

    #isPreferred(name: string): boolean {
        const rank = this.#candidates.indexOf(name);
        const currentRank = this.#current === undefined ? -1 : this.#candidates.indexOf(this.#current.allocator);
        return rank >= 0 && (currentRank < 0 || rank < currentRank);
    }

    #moveToPreferred(nowMs: number): void {
        const [former, better] = [this.#current, this.#preferred];
        if (better === undefined || former === undefined || former.isAwaitingTokens) {
            return;
        }
        this.#preferred = undefined;
        if (!this.#isPreferred(better.allocator) || !this.#isUsable(better.allocator, nowMs)) {
            return;
        }
        this.#switchTo(better, nowMs);
        if (former.shareLeaseEndMs > nowMs) {
            former.isReleasing = true;
            this.#send(former, former.createMessage(0, [], nowMs));
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
        const link = this.#sessions.get(name);
        const sentMs = link?.lastSentAtMs ?? -Infinity;
        if (link !== undefined && link.shareLeaseEndMs > nowMs) {
            return sentMs + retransmitPeriodMs;
        }
        if (!this.#candidates.includes(name)) {
            return Infinity;
        }
        if (this.#previousLeaseEndMs > nowMs && !this.#respondedAllocators.has(name)) {
            return sentMs + startupProbePeriodMs;
        }
        if (this.#current === undefined) {
            return sentMs + isolatedProbePeriodMs;
        }
        const leftAtMs = this.#lostAtMs.get(name) ?? -Infinity;
        return this.#isPreferred(name)
            ? Math.max(sentMs + failbackProbePeriodMs, leftAtMs + failbackDelayMs)
            : Infinity;
    }

    #sendProbes(nowMs: number): void {
        for (const name of this.#probeTargets()) {
            const atMs = this.#nextProbeAtMs(name, nowMs);
            if (atMs <= nowMs) {
                const link = this.#sessionFor(name);
                // To an allocator that may still hold the share the same message is sent, which doesn't extend the
                // lease.
                const repeated = link.shareLeaseEndMs > nowMs ? link.retransmit(nowMs) : undefined;
                this.#send(link, repeated ?? link.createMessage(0, [], nowMs));
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
        link: AllocatorSession,
        { granted, retryAfterMs, plentiful, over, requests }: DecidedEntry,
        nowMs: number,
    ): void {
        let left = granted;
        let refused = 0;
        for (const request of requests) {
            if (!request.isPending) {
                continue;
            }
            const { rule } = request;
            const waitMs = retryAfterMs + refused * oneSecondMs / rule.perSecond;
            if (left > 0) {
                left--;
                this.#decide(request, { type: "admitted", token: { rule, grantedBy: link.allocator }, plentiful });
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
        if (left > 0 && rule !== undefined) {
            link.giveBack(rule, left);
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
        const link = this.#sessions.get(name)
            ?? new AllocatorSession({ allocator: name, name: self, incarnation, group, nextSeq });
        this.#sessions.set(name, link);
        return link;
    }

    #send(link: AllocatorSession, message: LimitRequestMessage | undefined): void {
        if (message !== undefined) {
            this.#options.output.send(link.allocator, message);
        }
    }
}
