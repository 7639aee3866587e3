import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";

/**
 * One host in the platform's list. The list lags behind: a host may have left, or be leaving, for some time before its
 * entry changes.
 */
export interface HostEntry {
    readonly name: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: "live" | "leaving";
}

/** Client of the platform's list of live and leaving hosts, which lags behind. */
export abstract class HostList {
    abstract list(): Promise<Either<Failure, readonly HostEntry[]>>;
}
