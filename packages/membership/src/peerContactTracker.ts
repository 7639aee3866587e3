import { type VersionedState } from "./versionedState.js";
import { type GatewayIdentity, type Heartbeat } from "./messages.js";

/** A peer's newest answer. */
interface Answered {
    readonly startedAtMs: number;
    readonly heartbeat: Heartbeat;
}

interface Contact {
    newest: Answered;
    /** When the newest call was started whose answer told of nothing newer than this gateway holds. */
    agreedAtMs: number | undefined;
}

/**
 * What peers said when asked. An answer counts as contact from the time before the call was started, and only once this
 * gateway holds all that the peer held: until then earlier answers of that peer go on counting for their time, so that
 * hearing of a change stops no work.
 */
export class PeerContactTracker {
    readonly #byName = new Map<string, Contact>();

    /** @returns the peers that ever answered, as they last named themselves */
    get identities(): readonly GatewayIdentity[] {
        return [...this.#byName.values()].map(contact => contact.newest.heartbeat.from);
    }

    /**
     * @param startedAtMs - when the call was started
     * @param heartbeat - what came back
     * @param holding - what this gateway holds
     */
    onHeartbeat(startedAtMs: number, heartbeat: Heartbeat, holding: VersionedState): void {
        const contact = this.#byName.get(heartbeat.from.name);
        const answered = { startedAtMs, heartbeat };
        if (contact === undefined) {
            this.#byName.set(heartbeat.from.name, { newest: answered, agreedAtMs: undefined });
        }
        else if (startedAtMs >= contact.newest.startedAtMs) {
            contact.newest = answered;
        }
        this.reevaluate(holding);
    }

    /** Counts the answers that this gateway has caught up with. */
    reevaluate(holding: VersionedState): void {
        for (const contact of this.#byName.values()) {
            const { startedAtMs, heartbeat } = contact.newest;
            // A process that has just started may have forgotten what it held. Its word would let an older revision
            // be taken for the newest, so it counts only after it has learnt from the others or from the store.
            if (!heartbeat.recovering && holding.isAtLeast(heartbeat.revision, heartbeat.rosterVersion)) {
                contact.agreedAtMs = startedAtMs;
            }
        }
    }

    /**
     * @param sinceMs - earliest start of a call that counts
     * @returns names of the peers that were in contact since then
     */
    namesInContactSince(sinceMs: number): Set<string> {
        const names = new Set<string>();
        for (const [name, contact] of this.#byName) {
            if (contact.agreedAtMs !== undefined && contact.agreedAtMs >= sinceMs) {
                names.add(name);
            }
        }
        return names;
    }

    /** Drops peers that neither the roster nor a fresh answer names any more. */
    prune(keep: ReadonlySet<string>, sinceMs: number): void {
        for (const [name, contact] of this.#byName) {
            if (!keep.has(name) && contact.newest.startedAtMs < sinceMs) {
                this.#byName.delete(name);
            }
        }
    }
}
