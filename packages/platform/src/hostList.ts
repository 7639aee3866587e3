import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";

/** One host as the platform lists it. The list lags: a host may be gone, or leaving, for some time before it says so. */
export interface HostEntry {
    readonly name: string;
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: "live" | "leaving";
}

/** The platform's lagging list of live and leaving hosts. */
export abstract class HostList {
    abstract list(): Promise<Either<Failure, readonly HostEntry[]>>;
}
