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
class ConfirmedPeriod {
    #confirmedAtMs = Number.NEGATIVE_INFINITY;
    #sinceMs = Number.POSITIVE_INFINITY;

    /** Start of the current period; infinite before the first. */
    get sinceMs(): number {
        return this.#sinceMs;
    }

    confirm(startedAtMs: number, nowMs: number): void {
        if (!this.isActive(nowMs)) {
            this.#sinceMs = nowMs;
        }
        this.#confirmedAtMs = Math.max(this.#confirmedAtMs, startedAtMs);
    }

    isActive(nowMs: number): boolean {
        return nowMs < this.#confirmedAtMs + contactTimeoutMs;
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
    readonly #openRounds = new Map<
        number,
        { readonly announcedRenewalMs: number; readonly absent: readonly string[]; }
    >();
    #roster: GatewayRoster = { version: 0, members: [] };
    #ownSequence = 0;
    #ownRenewedAtMs = Number.NEGATIVE_INFINITY;
    #majorityContact = new ConfirmedPeriod();
    /** Contact with a majority that does not consider this gateway absent. */
    #presence = new ConfirmedPeriod();
    /** Members that a majority considers absent. */
    #absent = new Map<string, ConfirmedPeriod>();
    #announcedRenewalMs = Number.NEGATIVE_INFINITY;
    #leasePeriodSinceMs = Number.POSITIVE_INFINITY;

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
        this.#openRounds.clear();
        this.#majorityContact = new ConfirmedPeriod();
        this.#presence = new ConfirmedPeriod();
        this.#absent = new Map();
        this.#announcedRenewalMs = Number.NEGATIVE_INFINITY;
    }

    /** Records the lease that a heartbeat round starting now announces, and the members reported as absent in it. */
    beginRound(absent: readonly string[], nowMs: number): void {
        for (const startedAtMs of this.#openRounds.keys()) {
            if (startedAtMs + contactTimeoutMs < nowMs) {
                this.#openRounds.delete(startedAtMs);
            }
        }
        this.#openRounds.set(nowMs, { announcedRenewalMs: this.#lease.renewedAtMs, absent });
    }

    /** @returns the latest known lease of every gateway, including this one */
    leases(nowMs: number): readonly LeaseReport[] {
        this.#recordOwnLease();
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
    mergeLeases(heartbeat: ColdStartHeartbeat, nowMs: number): void {
        for (const lease of heartbeat.leases) {
            const known = this.#leases.get(lease.holder);
            if (lease.holder !== this.#self && (known === undefined || lease.sequence > known.sequence)) {
                this.#leases.set(lease.holder, { sequence: lease.sequence, renewedAtMs: nowMs - lease.ageMs });
            }
        }
    }

    /** @returns whether the round reached a majority */
    onRound(round: HeartbeatRound, nowMs: number): boolean {
        const openRound = this.#openRounds.get(round.startedAtMs);
        for (const response of round.responses) {
            this.mergeLeases(response, nowMs);
        }
        const responses = round.responses.filter(response => response.rosterVersion === this.#roster.version);
        if (openRound === undefined || !this.#isMajority(responses)) {
            return false;
        }
        this.#majorityContact.confirm(round.startedAtMs, nowMs);
        this.#recordAnnouncement(openRound.announcedRenewalMs, nowMs);
        if (this.#isMajority(responses.filter(response => !response.isAskerSuspended))) {
            this.#presence.confirm(round.startedAtMs, nowMs);
        }
        this.#recordAbsences(round.startedAtMs, responses, openRound.absent, nowMs);
        return true;
    }

    #recordAbsences(
        startedAtMs: number,
        responses: readonly ColdStartHeartbeat[],
        ownAbsent: readonly string[],
        nowMs: number,
    ): void {
        for (const member of ownAbsent) {
            if (this.#isMajority(responses.filter(response => response.absent.includes(member)))) {
                const period = this.#absent.get(member) ?? new ConfirmedPeriod();
                this.#absent.set(member, period);
                period.confirm(startedAtMs, nowMs);
            }
        }
    }

    /** Whether the last contact with a majority is recent enough to send any request. */
    hasMajorityContact(nowMs: number): boolean {
        return this.#majorityContact.isActive(nowMs);
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
            && nowMs < this.#announcedRenewalMs + leaseTtlMs - clockDriftAllowanceMs
            // The owner by roster may have had contact with a majority just before the lease was announced.
            && nowMs >= this.#leasePeriodSinceMs + authorityChangeDelayMs;
        return isUsable ? String(this.#leasePeriodSinceMs) : undefined;
    }

    /**
     * @returns an id of the current period of authority by the roster, or `undefined` if there is none; each period
     * recounts the inherited requests, since another gateway may have sent some in between
     */
    resolveRosterAuthorityId(serverId: ServerId, nowMs: number): string | undefined {
        const latestRenewalMs = this.#latestRenewalMs();
        const delayMs = leaseTtlMs + authorityChangeDelayMs;
        const isUsable = this.#presence.isActive(nowMs)
            && nowMs >= this.#presence.sinceMs + delayMs
            && nowMs >= latestRenewalMs + delayMs;
        const succession = isUsable ? this.#resolveSuccession(serverId, nowMs) : undefined;
        return succession === undefined
            ? undefined
            : `${this.#roster.version}/${this.#presence.sinceMs}/${latestRenewalMs}/${succession}`;
    }

    /** @returns since when each higher-ranked gateway has been absent, or `undefined` if one may be present */
    #resolveSuccession(serverId: ServerId, nowMs: number): string | undefined {
        const absentSince: number[] = [];
        for (const member of rankOwners(this.#roster.members, serverId)) {
            if (member === this.#self) {
                return absentSince.join(",");
            }
            const period = this.#absent.get(member);
            if (period?.isActive(nowMs) !== true) {
                return undefined;
            }
            absentSince.push(period.sinceMs);
        }
        return undefined;
    }

    #recordOwnLease(): void {
        if (this.#lease.renewedAtMs > this.#ownRenewedAtMs) {
            this.#ownRenewedAtMs = this.#lease.renewedAtMs;
            this.#ownSequence++;
            this.#leases.set(this.#self, { sequence: this.#ownSequence, renewedAtMs: this.#ownRenewedAtMs });
        }
    }

    #latestRenewalMs(): number {
        this.#recordOwnLease();
        let latestRenewalMs = Number.NEGATIVE_INFINITY;
        for (const lease of this.#leases.values()) {
            latestRenewalMs = Math.max(latestRenewalMs, lease.renewedAtMs);
        }
        return latestRenewalMs;
    }

    #recordAnnouncement(announcedRenewalMs: number, nowMs: number): void {
        if (announcedRenewalMs <= this.#announcedRenewalMs) {
            return;
        }
        if (nowMs >= this.#announcedRenewalMs + leaseTtlMs - clockDriftAllowanceMs) {
            this.#leasePeriodSinceMs = nowMs;
        }
        this.#announcedRenewalMs = announcedRenewalMs;
    }

    /** Whether the responding peers, together with this gateway, form a majority. */
    #isMajority(responses: readonly ColdStartHeartbeat[]): boolean {
        const contacted = new Set([this.#self, ...responses.map(response => response.from)]);
        const { members, previous } = this.#roster;
        return isMajorityOf(members, contacted) && (previous === undefined || isMajorityOf(previous, contacted));
    }
}

function isMajorityOf(members: readonly string[], contacted: ReadonlySet<string>): boolean {
    let count = 0;
    for (const member of members) {
        count += contacted.has(member) ? 1 : 0;
    }
    return count * 2 > members.length;
}
