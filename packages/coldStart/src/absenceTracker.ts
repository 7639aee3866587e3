import { authorityChangeDelayMs, contactTimeoutMs } from "./constants.js";

/**
 * Tracks roster members whose heartbeats no longer reach this gateway, and which of them it has reported as absent.
 * Without it, the servers owned by a dead gateway would stay cold for as long as the store is down.
 */
export class AbsenceTracker {
    readonly #self: string;
    readonly #lastHeartbeatAtMs = new Map<string, number>();
    readonly #reportedAtMs = new Map<string, number>();
    #rosterSinceMs = Number.POSITIVE_INFINITY;

    constructor(self: string) {
        this.#self = self;
    }

    /** Restarts the timeout of every member, so that a new roster begins without absent members. */
    onRoster(nowMs: number): void {
        this.#rosterSinceMs = nowMs;
    }

    /** Records a heartbeat from a member, which this gateway responds to. */
    onHeartbeat(member: string, nowMs: number): void {
        this.#lastHeartbeatAtMs.set(member, nowMs);
    }

    /**
     * Reports the absent members to a peer, which may rely on the report for {@link contactTimeoutMs}.
     *
     * @param members - members of the roster, as `name/incarnation`
     * @param nowMs - current monotonic time
     * @returns members whose last response from this gateway is too old to count as contact for them
     */
    reportAbsent(members: readonly string[], nowMs: number): readonly string[] {
        const absent = members.filter(member => member !== this.#self && this.#isAbsent(member, nowMs));
        for (const member of absent) {
            this.#reportedAtMs.set(member, nowMs);
        }
        return absent;
    }

    /**
     * A member that comes back must not act as owner while a successor may still rely on its absence.
     *
     * @returns whether a peer may still rely on a report that the member is absent
     */
    isSuspended(member: string, nowMs: number): boolean {
        return nowMs
            < (this.#reportedAtMs.get(member) ?? Number.NEGATIVE_INFINITY) + contactTimeoutMs + authorityChangeDelayMs;
    }

    #isAbsent(member: string, nowMs: number): boolean {
        const lastHeartbeatAtMs = Math.max(
            this.#rosterSinceMs,
            this.#lastHeartbeatAtMs.get(member) ?? this.#rosterSinceMs,
        );
        return nowMs >= lastHeartbeatAtMs + contactTimeoutMs + authorityChangeDelayMs;
    }
}
