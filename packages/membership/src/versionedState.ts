import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ConfigurationOffer, type Roster } from "./messages.js";

/** Changes made by an offer. */
export interface StateChange {
    /** The new configuration; `undefined` if it hasn't changed. */
    readonly configuration: ConfigurationRevision | undefined;
    readonly rosterChanged: boolean;
}

/** The configuration and roster that a gateway holds. Their versions never decrease. */
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
     * Adopts the newer parts of an offer. An older revision may arrive at any time, from a peer that lags behind or in
     * a delayed response. Applying it would send work to an availability zone that operators have evacuated.
     *
     * @param offer - offer from the store, a peer or the admin process
     * @returns the changes
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
     * @param revision - configuration revision to compare with
     * @param rosterVersion - roster version to compare with
     * @returns whether this gateway holds these versions or newer ones
     */
    isAtLeast(revision: number, rosterVersion: number): boolean {
        return revision <= this.revision && rosterVersion <= this.rosterVersion;
    }
}
