import { authorityChangeDelayMs, contactTimeoutMs } from "./constants.js";

/**
 * What this gateway, as one of a majority, knows and has said of members that don't ask it any more. A dead owner would
 * otherwise keep the servers that fall to it cold for as long as the store is down.
 */
export class AbsenceTracker {
    readonly #self: string;
    readonly #askedAtMs = new Map<string, number>();
    readonly #saidAtMs = new Map<string, number>();
    #sinceMs = Number.POSITIVE_INFINITY;

    constructor(self: string) {
        this.#self = self;
    }

    /** Under a new roster nobody is absent until the time has passed anew. */
    onRoster(nowMs: number): void {
        this.#sinceMs = nowMs;
    }

    /** Notes that a member has asked, and is being answered. */
    onHeartbeat(member: string, nowMs: number): void {
        this.#askedAtMs.set(member, nowMs);
    }

    /**
     * Says who is absent, which others may then rely on for {@link contactTimeoutMs}.
     *
     * @returns members whose last answer from here is too old to count for them
     */
    reportAbsent(members: readonly string[], nowMs: number): readonly string[] {
        const absent = members.filter(member => member !== this.#self && this.#isAbsent(member, nowMs));
        for (const member of absent) {
            this.#saidAtMs.set(member, nowMs);
        }
        return absent;
    }

    /**
     * A member that comes back may not go on as owner while a successor relies on its absence.
     *
     * @returns whether somebody may still do so
     */
    isSuspended(member: string, nowMs: number): boolean {
        return nowMs
            < (this.#saidAtMs.get(member) ?? Number.NEGATIVE_INFINITY) + contactTimeoutMs + authorityChangeDelayMs;
    }

    #isAbsent(member: string, nowMs: number): boolean {
        const askedAtMs = Math.max(this.#sinceMs, this.#askedAtMs.get(member) ?? this.#sinceMs);
        return nowMs >= askedAtMs + contactTimeoutMs + authorityChangeDelayMs;
    }
}
