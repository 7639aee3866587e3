import { type ConfigurationRevision } from "@galenaglade/configuration";

/** Provides the gateway's configuration and decides whether it is fresh enough for new work. */
export interface ConfigurationSource {
    /** @returns the newest known configuration, or `undefined` if none has been received yet */
    current(): ConfigurationRevision | undefined;
    /** Whether new requests may be sent under {@link current}. Must be cheap: it is called right before every send. */
    mayTakeNewWork(): boolean;
    /** Registers a callback for every newer configuration. */
    onConfiguration(callback: (revised: ConfigurationRevision) => void): void;
}
