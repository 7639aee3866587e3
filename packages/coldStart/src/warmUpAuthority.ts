import { type ServerId } from "@galenaglade/routing";
import { authorityChangeDelayMs, clockDriftAllowanceMs, contactTimeoutMs, leaseTtlMs } from "./constants.js";
import {
    type ColdStartHeartbeat,
    type GatewayRoster,
    type HeartbeatRound,
    type LeaseReport,
} from "./coldStartHeartbeat.js";
import { type LeaseKeeper } from "./leaseKeeper.js";
import { rankOwners } from "./rankOwners.js";

/** A stretch of time over which something was confirmed again and again before it lapsed. */
class Stretch {
    #atMs = Number.NEGATIVE_INFINITY;
    #sinceMs = Number.POSITIVE_INFINITY;

    /** When the stretch began; infinite before the first. */
    get sinceMs(): number {
        return this.#sinceMs;
    }

    confirm(startedAtMs: number, nowMs: number): void {
        if (!this.isHolding(nowMs)) {
            this.#sinceMs = nowMs;
        }
        this.#atMs = Math.max(this.#atMs, startedAtMs);
    }

    isHolding(nowMs: number): boolean {
        return nowMs < this.#atMs + contactTimeoutMs;
    }
}

interface KnownLease {
    readonly sequence: number;
    readonly renewedAtMs: number;
}

/**
 * Says on what a gateway may rest when it warms a server up: its lease at the store, or, while nobody's lease stands,
 * the roster. Both rest on contact with a majority, and any two majorities share a gateway, which passes on what it
 * heard from the one to the other; the proof is in docs/design/cold-start.md.
 */
export class WarmUpAuthority {
    readonly #self: string;
    readonly #lease: LeaseKeeper;
    readonly #leases = new Map<string, KnownLease>();
    readonly #begun = new Map<number, { readonly announcedMs: number; readonly absent: readonly string[]; }>();
    #roster: GatewayRoster = { version: 0, members: [] };
    #ownSequence = 0;
    #ownRenewedAtMs = Number.NEGATIVE_INFINITY;
    #contact = new Stretch();
    /** Contact with a majority that doesn't hold this gateway for absent. */
    #presence = new Stretch();
    /** Members that a majority holds for absent. */
    #absent = new Map<string, Stretch>();
    #announcedMs = Number.NEGATIVE_INFINITY;
    #announcedSinceMs = Number.POSITIVE_INFINITY;

    constructor(self: string, lease: LeaseKeeper) {
        this.#self = self;
        this.#lease = lease;
    }

    get roster(): GatewayRoster {
        return this.#roster;
    }

    /** Majorities of different rosters need not know of each other, so every time starts anew with each version. */
    onRoster(roster: GatewayRoster): void {
        if (roster.version <= this.#roster.version) {
            return;
        }
        this.#roster = roster;
        this.#begun.clear();
        this.#contact = new Stretch();
        this.#presence = new Stretch();
        this.#absent = new Map();
        this.#announcedMs = Number.NEGATIVE_INFINITY;
    }

    /** Notes what a round that starts now announces, and whom this gateway holds for absent. */
    beginRound(absent: readonly string[], nowMs: number): void {
        for (const startedAtMs of this.#begun.keys()) {
            if (startedAtMs + contactTimeoutMs < nowMs) {
                this.#begun.delete(startedAtMs);
            }
        }
        this.#begun.set(nowMs, { announcedMs: this.#lease.renewedAtMs, absent });
    }

    /** @returns the latest lease of every gateway that is known of, own first */
    leases(nowMs: number): readonly LeaseReport[] {
        this.#noteOwnLease();
        return [...this.#leases].map(([holder, known]) => ({
            holder,
            sequence: known.sequence,
            ageMs: nowMs - known.renewedAtMs,
        }));
    }

    /**
     * Each renewal is dated once, when first heard of. Dating it anew with each message would make it younger by a
     * network delay each time that it went round, and a lease long lapsed would never be old.
     */
    mergeLeases(word: ColdStartHeartbeat, nowMs: number): void {
        for (const lease of word.leases) {
            const known = this.#leases.get(lease.holder);
            if (lease.holder !== this.#self && (known === undefined || lease.sequence > known.sequence)) {
                this.#leases.set(lease.holder, { sequence: lease.sequence, renewedAtMs: nowMs - lease.ageMs });
            }
        }
    }

    /** @returns whether the round reached a majority */
    onRound(round: HeartbeatRound, nowMs: number): boolean {
        const begun = this.#begun.get(round.startedAtMs);
        for (const answer of round.responses) {
            this.mergeLeases(answer, nowMs);
        }
        const answers = round.responses.filter(answer => answer.rosterVersion === this.#roster.version);
        if (begun === undefined || !this.#isMajority(answers)) {
            return false;
        }
        this.#contact.confirm(round.startedAtMs, nowMs);
        this.#noteAnnouncement(begun.announcedMs, nowMs);
        if (this.#isMajority(answers.filter(answer => !answer.isAskerSuspended))) {
            this.#presence.confirm(round.startedAtMs, nowMs);
        }
        this.#noteAbsences(round.startedAtMs, answers, begun.absent, nowMs);
        return true;
    }

    #noteAbsences(
        startedAtMs: number,
        answers: readonly ColdStartHeartbeat[],
        ownAbsent: readonly string[],
        nowMs: number,
    ): void {
        for (const member of ownAbsent) {
            if (this.#isMajority(answers.filter(answer => answer.absent.includes(member)))) {
                const stretch = this.#absent.get(member) ?? new Stretch();
                this.#absent.set(member, stretch);
                stretch.confirm(startedAtMs, nowMs);
            }
        }
    }

    /** Whether a majority has answered lately enough to send anything at all. */
    hasMajorityContact(nowMs: number): boolean {
        return this.#contact.isHolding(nowMs);
    }

    /**
     * @returns a word for the present stretch in which permits under the lease may be used, or `undefined`; between two
     * stretches the owner by roster may have sent
     */
    resolveLeaseAuthorityId(nowMs: number): string | undefined {
        const isUsable = this.hasMajorityContact(nowMs)
            // Counted from before the renewal was sent: a holder that was paused past its lease sees in the turn in
            // which it wakes that its authority is gone. And from a renewal that a majority has heard of: any other
            // wouldn't keep the owner by roster from sending.
            && nowMs < this.#announcedMs + leaseTtlMs - clockDriftAllowanceMs
            // The owner by roster may have had its last contact just before the lease was announced.
            && nowMs >= this.#announcedSinceMs + authorityChangeDelayMs;
        return isUsable ? String(this.#announcedSinceMs) : undefined;
    }

    /**
     * @returns a word for the present stretch of authority without the store, or `undefined` where there is none; work
     * inherited from before a stretch has to be counted again in the next, since another may have sent in between
     */
    resolveRosterAuthorityId(serverId: ServerId, nowMs: number): string | undefined {
        const freshestMs = this.#freshestLeaseMs();
        const restMs = leaseTtlMs + authorityChangeDelayMs;
        const isUsable = this.#presence.isHolding(nowMs)
            && nowMs >= this.#presence.sinceMs + restMs
            && nowMs >= freshestMs + restMs;
        const succession = isUsable ? this.#resolveSuccession(serverId, nowMs) : undefined;
        return succession === undefined
            ? undefined
            : `${this.#roster.version}/${this.#presence.sinceMs}/${freshestMs}/${succession}`;
    }

    /** @returns since when each gateway ranked higher is absent, or `undefined` where one may not be */
    #resolveSuccession(serverId: ServerId, nowMs: number): string | undefined {
        const absentSince: number[] = [];
        for (const member of rankOwners(this.#roster.members, serverId)) {
            if (member === this.#self) {
                return absentSince.join(",");
            }
            const stretch = this.#absent.get(member);
            if (stretch?.isHolding(nowMs) !== true) {
                return undefined;
            }
            absentSince.push(stretch.sinceMs);
        }
        return undefined;
    }

    #noteOwnLease(): void {
        if (this.#lease.renewedAtMs > this.#ownRenewedAtMs) {
            this.#ownRenewedAtMs = this.#lease.renewedAtMs;
            this.#ownSequence++;
            this.#leases.set(this.#self, { sequence: this.#ownSequence, renewedAtMs: this.#ownRenewedAtMs });
        }
    }

    #freshestLeaseMs(): number {
        this.#noteOwnLease();
        let freshestMs = Number.NEGATIVE_INFINITY;
        for (const lease of this.#leases.values()) {
            freshestMs = Math.max(freshestMs, lease.renewedAtMs);
        }
        return freshestMs;
    }

    #noteAnnouncement(announcedMs: number, nowMs: number): void {
        if (announcedMs <= this.#announcedMs) {
            return;
        }
        if (nowMs >= this.#announcedMs + leaseTtlMs - clockDriftAllowanceMs) {
            this.#announcedSinceMs = nowMs;
        }
        this.#announcedMs = announcedMs;
    }

    /** A gateway counts itself among those that answered. */
    #isMajority(answers: readonly ColdStartHeartbeat[]): boolean {
        const heard = new Set([this.#self, ...answers.map(answer => answer.from)]);
        const { members, previous } = this.#roster;
        return isMajorityOf(members, heard) && (previous === undefined || isMajorityOf(previous, heard));
    }
}

function isMajorityOf(members: readonly string[], heard: ReadonlySet<string>): boolean {
    let count = 0;
    for (const member of members) {
        count += heard.has(member) ? 1 : 0;
    }
    return count * 2 > members.length;
}
