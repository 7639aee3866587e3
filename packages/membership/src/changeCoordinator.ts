import { type Configuration, type ConfigurationRevision } from "@galenaglade/configuration";
import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type GatewayIdentity } from "./messages.js";

/** An operator's change. */
export interface ChangeRequest {
    /** Names the call; the same id sent again gets the answer of the first. */
    readonly changeId: string;
    /** The revision that the operator read; another present revision fails with `revisionConflict`. */
    readonly expectedRevision: number;
    readonly configuration: Configuration;
}

/** Where one gateway stands with respect to a change. */
export interface GatewayChangeStatus {
    readonly gateway: GatewayIdentity;
    /** `lapsed`: not reached, and out of touch for so long that it takes no new work. */
    readonly state: "inForce" | "behind" | "unreachable" | "lapsed";
    /** Highest revision that it has said it holds. */
    readonly revision: number | undefined;
}

/** How far a stored change has come. */
export interface ChangeStatus {
    readonly revision: number;
    readonly changeId: string;
    /** Whether no gateway can take new work under an older revision any more. */
    readonly inForce: boolean;
    readonly gateways: readonly GatewayChangeStatus[];
}

/** Orders operators' changes through the store and finds out when they are in force. */
export abstract class ChangeCoordinator {
    /** Reads the present configuration; revision 0 where none was ever written. */
    abstract read(): Promise<Either<Failure, ConfigurationRevision>>;
    /** Writes a change, then waits, at most `waitMs`, until it is in force. */
    abstract apply(req: ChangeRequest, waitMs: number): Promise<Either<Failure, ChangeStatus>>;
    /** Says how far the present configuration has come. */
    abstract changeStatus(): Promise<Either<Failure, ChangeStatus>>;
    /**
     * Takes an operator's word that a gateway runs nowhere any more and won't be started again under its name without
     * the store. Saying so again has no second effect.
     *
     * @param name - the gateway's name
     * @returns nothing; `badRequest` where the gateway lives, `notFound` where the fleet knows none of the name, or the
     *          store's failure
     */
    abstract forget(name: string): Promise<Either<Failure, void>>;
}
