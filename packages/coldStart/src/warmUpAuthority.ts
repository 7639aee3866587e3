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

/** A period during which a condition was reconfirmed each time before {@link contactTimeoutMs} had passed. */
class Stretch {
    #atMs = Number.NEGATIVE_INFINITY;
    #sinceMs = Number.POSITIVE_INFINITY;

    /** Start of the current period; infinite before the first. */
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
 * Decides whether a gateway has authority to warm up a server: by its lease in the store or, while no gateway has a
 * valid lease, by the roster. Both require contact with a majority. Any two majorities share a gateway, which forwards
 * what it learned from one to the other; docs/design/cold-start.md has the proof.
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
    /** Contact with a majority that does not consider this gateway absent. */
    #presence = new Stretch();
    /** Members that a majority considers absent. */
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

    /** Majorities of different rosters need not overlap, so each roster version restarts every period. */
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

    /** Records the lease that a heartbeat round starting now announces, and the members reported as absent in it. */
    beginRound(absent: readonly string[], nowMs: number): void {
        for (const startedAtMs of this.#begun.keys()) {
            if (startedAtMs + contactTimeoutMs < nowMs) {
                this.#begun.delete(startedAtMs);
            }
        }
        this.#begun.set(nowMs, { announcedMs: this.#lease.renewedAtMs, absent });
    }

    /** @returns the latest known lease of every gateway, including this one */
    leases(nowMs: number): readonly LeaseReport[] {
        this.#noteOwnLease();
        return [...this.#leases].map(([holder, known]) => ({
            holder,
            sequence: known.sequence,
            ageMs: nowMs - known.renewedAtMs,
        }));
    }

    /**
     * Merges the leases that a peer reports. The age of a renewal is taken only from the first report of it: otherwise
     * each exchange between peers would subtract a network delay, and an expired lease would never appear old.
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

    /** Whether the last contact with a majority is recent enough to send any request. */
    hasMajorityContact(nowMs: number): boolean {
        return this.#contact.isHolding(nowMs);
    }

    /**
     * @returns an id of the current period in which permits under the lease may be used, or `undefined`; between two
     * periods the owner by roster may have sent requests
     */
    resolveLeaseAuthorityId(nowMs: number): string | undefined {
        const isUsable = this.hasMajorityContact(nowMs)
            // Measured from before the renewal was sent, so that a holder paused past its lease finds the authority
            // expired in the turn in which it resumes. Only a renewal that a majority has learned of counts: no other
            // prevents the owner by roster from sending.
            && nowMs < this.#announcedMs + leaseTtlMs - clockDriftAllowanceMs
            // The owner by roster may have had contact with a majority just before the lease was announced.
            && nowMs >= this.#announcedSinceMs + authorityChangeDelayMs;
        return isUsable ? String(this.#announcedSinceMs) : undefined;
    }

    /**
     * @returns an id of the current period of authority by the roster, or `undefined` if there is none; each period
     * recounts the inherited requests, since another gateway may have sent some in between
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

    /** @returns since when each higher-ranked gateway has been absent, or `undefined` if one may be present */
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

    /** Whether the responding peers, together with this gateway, form a majority. */
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
