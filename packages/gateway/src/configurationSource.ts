import { type ConfigurationRevision } from "@galenaglade/configuration";

/** Where the gateway's configuration comes from, with its word on whether that is fresh enough. */
export interface ConfigurationSource {
    /** @returns the newest configuration held, or `undefined` where none was ever heard of */
    current(): ConfigurationRevision | undefined;
    /** Whether new work may be taken under {@link current}; costs little, and is asked right before every send. */
    mayTakeNewWork(): boolean;
    /** Calls back with every newer configuration. */
    onConfiguration(callback: (revised: ConfigurationRevision) => void): void;
}
