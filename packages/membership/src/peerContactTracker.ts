import { type VersionedState } from "./versionedState.js";
import { type GatewayIdentity, type Heartbeat } from "./messages.js";

/** A peer's response to a heartbeat. */
interface HeartbeatResponse {
    readonly startedAtMs: number;
    readonly heartbeat: Heartbeat;
}

interface Contact {
    latest: HeartbeatResponse;
    /** Start of the latest call whose response had nothing newer than this gateway holds. */
    contactAtMs: number | undefined;
}

/**
 * Tracks the latest heartbeat response of each peer. A response counts as contact from the start of the call, and only
 * once this gateway holds everything that the peer held. Until then earlier responses of the peer remain valid for
 * their time, so that learning of a change doesn't interrupt work.
 */
export class PeerContactTracker {
    readonly #byName = new Map<string, Contact>();

    /** The identities in the latest responses of all tracked peers. */
    get identities(): readonly GatewayIdentity[] {
        return [...this.#byName.values()].map(contact => contact.latest.heartbeat.from);
    }

    /**
     * @param startedAtMs - start of the call, in milliseconds on the monotonic clock
     * @param heartbeat - the peer's response
     * @param state - configuration and roster of this gateway
     */
    onHeartbeat(startedAtMs: number, heartbeat: Heartbeat, state: VersionedState): void {
        const contact = this.#byName.get(heartbeat.from.name);
        const response = { startedAtMs, heartbeat };
        if (contact === undefined) {
            this.#byName.set(heartbeat.from.name, { latest: response, contactAtMs: undefined });
        }
        else if (startedAtMs >= contact.latest.startedAtMs) {
            contact.latest = response;
        }
        this.reevaluate(state);
    }

    /** Counts the responses whose versions this gateway now holds. */
    reevaluate(state: VersionedState): void {
        for (const contact of this.#byName.values()) {
            const { startedAtMs, heartbeat } = contact.latest;
            // A process that has just started may have lost newer state. If its response counted, an older revision
            // could be taken for the latest; so it counts only after recovery from its peers or from the store.
            if (!heartbeat.recovering && state.isAtLeast(heartbeat.revision, heartbeat.rosterVersion)) {
                contact.contactAtMs = startedAtMs;
            }
        }
    }

    /**
     * @param sinceMs - start time of the earliest call that counts
     * @returns names of the peers that have been in contact since then
     */
    namesInContactSince(sinceMs: number): Set<string> {
        const names = new Set<string>();
        for (const [name, contact] of this.#byName) {
            if (contact.contactAtMs !== undefined && contact.contactAtMs >= sinceMs) {
                names.add(name);
            }
        }
        return names;
    }

    /** Deletes the peers that aren't among the names to keep and whose latest response is older than a time. */
    prune(keep: ReadonlySet<string>, sinceMs: number): void {
        for (const [name, contact] of this.#byName) {
            if (!keep.has(name) && contact.latest.startedAtMs < sinceMs) {
                this.#byName.delete(name);
            }
        }
    }
}
