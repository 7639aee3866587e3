import { type VersionedState } from "./versionedState.js";
import { type Heartbeat } from "./messages.js";
import { isMember } from "./roster.js";

/** The store showed that what this gateway held was current. */
interface Confirmation {
    /** Before the store was asked. */
    readonly startedAtMs: number;
    readonly rosterVersion: number;
    /** Whether the roster that was shown current has this gateway as a member that stays. */
    readonly asMember: boolean;
}

interface Registration {
    /** When the store's answer came in: reads started after it are seen to come from a registered gateway. */
    readonly knownAtMs: number;
    readonly validUntilMs: number;
}

/**
 * When the store last showed that this gateway holds the newest configuration, and whether whoever accepts a change can
 * know of this gateway: it has to be in the roster, or registered since before the store was asked. A gateway that
 * nobody knows of would go on under an older configuration after a change has been called in force.
 */
export class FreshnessTracker {
    readonly #name: string;
    #own: Confirmation | undefined;
    #fromPeer: Confirmation | undefined;
    #registration: Registration | undefined;

    constructor(name: string) {
        this.#name = name;
    }

    /** The store was read, and this gateway holds what it said. */
    onStoreRead(startedAtMs: number, holding: VersionedState): void {
        if (this.#own === undefined || startedAtMs > this.#own.startedAtMs) {
            this.#own = this.#confirm(startedAtMs, holding);
        }
    }

    /**
     * A peer said how long ago the store showed its configuration to be current. This gateway may take it over for
     * itself where it holds as much, since the store's word is about the head and not about who asked; the age runs
     * on from before this gateway's own call. Ages add up over hops, so that it is never taken for longer.
     */
    onPeerHeartbeat(startedAtMs: number, heartbeat: Heartbeat, holding: VersionedState): void {
        if (heartbeat.freshnessAgeMs === undefined || heartbeat.rosterVersion !== holding.rosterVersion) {
            return;
        }
        if (heartbeat.revision > holding.revision) {
            return;
        }
        const confirmedAtMs = startedAtMs - heartbeat.freshnessAgeMs;
        if (this.#fromPeer === undefined || confirmedAtMs > this.#fromPeer.startedAtMs) {
            this.#fromPeer = this.#confirm(confirmedAtMs, holding);
        }
    }

    /** @param validUntilMs - counted from before the lease was asked for */
    onRegistered(knownAtMs: number, validUntilMs: number): void {
        this.#registration = { knownAtMs, validUntilMs };
    }

    /** The lease was renewed: the registration is the same as before. */
    onRenewed(validUntilMs: number): void {
        if (this.#registration !== undefined) {
            this.#registration = { ...this.#registration, validUntilMs };
        }
    }

    onRegistrationLost(): void {
        this.#registration = undefined;
    }

    /**
     * @param sinceMs - earliest confirmation that still counts
     * @returns whether the store's word lets this gateway take new work
     */
    isConfirmed(sinceMs: number, nowMs: number, holding: VersionedState): boolean {
        for (const confirmation of [this.#own, this.#fromPeer]) {
            if (confirmation === undefined || confirmation.startedAtMs < sinceMs) {
                continue;
            }
            if (confirmation.asMember && isMember(holding.roster, this.#name)) {
                return true;
            }
        }
        return this.#isRegisteredAndConfirmed(sinceMs, nowMs);
    }

    /** @returns age of the newest confirmation that a peer may take over, in milliseconds */
    ageMs(nowMs: number, holding: VersionedState): number | undefined {
        let newest: number | undefined;
        for (const confirmation of [this.#own, this.#fromPeer]) {
            if (confirmation?.rosterVersion !== holding.rosterVersion) {
                continue;
            }
            newest = Math.max(newest ?? confirmation.startedAtMs, confirmation.startedAtMs);
        }
        // Rounded up: older than it is does no harm, and whole numbers are short.
        return newest === undefined ? undefined : Math.ceil(nowMs - newest);
    }

    #confirm(startedAtMs: number, holding: VersionedState): Confirmation {
        return {
            startedAtMs,
            rosterVersion: holding.rosterVersion,
            asMember: isMember(holding.roster, this.#name),
        };
    }

    #isRegisteredAndConfirmed(sinceMs: number, nowMs: number): boolean {
        if (this.#own === undefined || this.#registration === undefined) {
            return false;
        }
        // A read from before the registration may be older than a change whose acceptance didn't see this gateway.
        const confirmedAtMs = this.#own.startedAtMs;
        return confirmedAtMs >= sinceMs
            && confirmedAtMs >= this.#registration.knownAtMs
            && nowMs < this.#registration.validUntilMs;
    }
}
