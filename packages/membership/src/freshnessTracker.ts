import { type VersionedState } from "./versionedState.js";
import { type Heartbeat } from "./messages.js";
import { isMember } from "./roster.js";

/** A read of the store that confirmed the configuration and roster of this gateway as current. */
interface Confirmation {
    /** Start of the read, in milliseconds on the monotonic clock. */
    readonly startedAtMs: number;
    readonly rosterVersion: number;
    /** Whether this gateway is among the new members of the confirmed roster. */
    readonly asMember: boolean;
}

interface Registration {
    /** Arrival of the store's response. The gateway is certain to be registered when a later read starts. */
    readonly knownAtMs: number;
    readonly validUntilMs: number;
}

/**
 * Tracks when the store last confirmed that this gateway holds the latest configuration, and whether the process that
 * applies a change can know of this gateway. For this it must be in the roster, or have been registered before the read
 * started. An unknown gateway would continue under an older configuration after a change is declared in force.
 */
export class FreshnessTracker {
    readonly #name: string;
    #ownConfirmation: Confirmation | undefined;
    #peerConfirmation: Confirmation | undefined;
    #registration: Registration | undefined;

    constructor(name: string) {
        this.#name = name;
    }

    /** Records a read of the store that matched what this gateway holds. */
    onStoreRead(startedAtMs: number, state: VersionedState): void {
        if (this.#ownConfirmation === undefined || startedAtMs > this.#ownConfirmation.startedAtMs) {
            this.#ownConfirmation = this.#confirm(startedAtMs, state);
        }
    }

    /**
     * Adopts a peer's confirmation by the store if this gateway holds the same roster and at least the same revision:
     * a confirmation concerns the head, whichever gateway read it. The age is counted from the start of this gateway's
     * own call, and ages add up over several hops, so that no confirmation is valid for longer than the original one.
     */
    onPeerHeartbeat(startedAtMs: number, heartbeat: Heartbeat, state: VersionedState): void {
        if (heartbeat.freshnessAgeMs === undefined || heartbeat.rosterVersion !== state.rosterVersion) {
            return;
        }
        if (heartbeat.revision > state.revision) {
            return;
        }
        const confirmedAtMs = startedAtMs - heartbeat.freshnessAgeMs;
        if (this.#peerConfirmation === undefined || confirmedAtMs > this.#peerConfirmation.startedAtMs) {
            this.#peerConfirmation = this.#confirm(confirmedAtMs, state);
        }
    }

    /**
     * @param knownAtMs - arrival of the store's response, in milliseconds on the monotonic clock
     * @param validUntilMs - expiry of the lease, counted from before it was requested
     */
    onRegistered(knownAtMs: number, validUntilMs: number): void {
        this.#registration = { knownAtMs, validUntilMs };
    }

    /** Extends the existing registration after its lease was renewed. */
    onRenewed(validUntilMs: number): void {
        if (this.#registration !== undefined) {
            this.#registration = { ...this.#registration, validUntilMs };
        }
    }

    onRegistrationLost(): void {
        this.#registration = undefined;
    }

    /**
     * @param sinceMs - time of the earliest confirmation that is still valid
     * @returns whether the store's confirmation permits this gateway to accept new work
     */
    isConfirmed(sinceMs: number, nowMs: number, state: VersionedState): boolean {
        for (const confirmation of [this.#ownConfirmation, this.#peerConfirmation]) {
            if (confirmation === undefined || confirmation.startedAtMs < sinceMs) {
                continue;
            }
            if (confirmation.asMember && isMember(state.roster, this.#name)) {
                return true;
            }
        }
        return this.#isRegisteredAndConfirmed(sinceMs, nowMs);
    }

    /** @returns age of the latest confirmation that a peer may adopt, in milliseconds; `undefined` if there is none */
    ageMs(nowMs: number, state: VersionedState): number | undefined {
        let newest: number | undefined;
        for (const confirmation of [this.#ownConfirmation, this.#peerConfirmation]) {
            if (confirmation?.rosterVersion !== state.rosterVersion) {
                continue;
            }
            newest = Math.max(newest ?? confirmation.startedAtMs, confirmation.startedAtMs);
        }
        // Rounded up, since overstating the age is safe; integers keep the heartbeat small.
        return newest === undefined ? undefined : Math.ceil(nowMs - newest);
    }

    #confirm(startedAtMs: number, state: VersionedState): Confirmation {
        return {
            startedAtMs,
            rosterVersion: state.rosterVersion,
            asMember: isMember(state.roster, this.#name),
        };
    }

    #isRegisteredAndConfirmed(sinceMs: number, nowMs: number): boolean {
        if (this.#ownConfirmation === undefined || this.#registration === undefined) {
            return false;
        }
        // A read that started before the registration may precede a change that was declared in force without this
        // gateway.
        const confirmedAtMs = this.#ownConfirmation.startedAtMs;
        return confirmedAtMs >= sinceMs
            && confirmedAtMs >= this.#registration.knownAtMs
            && nowMs < this.#registration.validUntilMs;
    }
}
