import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ConfigurationOffer, type Roster } from "./messages.js";

/** What an offer changed. */
export interface StateChange {
    /** Set where a newer configuration was taken. */
    readonly configuration: ConfigurationRevision | undefined;
    readonly rosterChanged: boolean;
}

/** The configuration and roster that a gateway holds; neither ever goes back. */
export class VersionedState {
    #configuration: ConfigurationRevision | undefined;
    #roster: Roster | undefined;

    get configuration(): ConfigurationRevision | undefined {
        return this.#configuration;
    }

    get roster(): Roster | undefined {
        return this.#roster;
    }

    get revision(): number {
        return this.#configuration?.revision ?? 0;
    }

    get rosterVersion(): number {
        return this.#roster?.version ?? 0;
    }

    /**
     * Takes what is newer in an offer. An older revision may come in at any time, from a peer that is behind or in an
     * answer that was overtaken; applied, it would bring back an availability zone that operators took out.
     *
     * @param offer - from the store, a peer or admin
     * @returns what changed
     */
    merge(offer: ConfigurationOffer): StateChange {
        let configuration: ConfigurationRevision | undefined;
        if (offer.offered !== undefined && offer.offered.revision > this.revision) {
            configuration = offer.offered;
            this.#configuration = configuration;
        }
        const rosterChanged = offer.roster !== undefined && offer.roster.version > this.rosterVersion;
        if (rosterChanged) {
            this.#roster = offer.roster;
        }
        return { configuration, rosterChanged };
    }

    /**
     * @param revision - a revision that somebody else has
     * @param rosterVersion - a roster version that somebody else has
     * @returns whether this gateway holds both, or newer ones
     */
    isAtLeast(revision: number, rosterVersion: number): boolean {
        return revision <= this.revision && rosterVersion <= this.rosterVersion;
    }
}
