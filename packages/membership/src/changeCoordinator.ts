import { type Configuration, type ConfigurationRevision } from "@galenaglade/configuration";
import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import { type GatewayIdentity } from "./messages.js";

/** A configuration change requested by an operator. */
export interface ChangeRequest {
    /** Idempotency key: a repeated request with the same id gets the result of the first. */
    readonly changeId: string;
    /** The revision that the operator read; the request fails with `revisionConflict` if it isn't the current one. */
    readonly expectedRevision: number;
    readonly configuration: Configuration;
}

/** Status of a change at one gateway. */
export interface GatewayChangeStatus {
    readonly gateway: GatewayIdentity;
    /** `lapsed`: the gateway can't be reached, and its freshness has expired, so that it accepts no new work. */
    readonly state: "inForce" | "behind" | "unreachable" | "lapsed";
    /** Revision in its latest response; `undefined` if it hasn't responded. */
    readonly revision: number | undefined;
}

/** Status of a stored change. */
export interface ChangeStatus {
    readonly revision: number;
    readonly changeId: string;
    /** Whether no gateway can accept new work under an older revision any more. */
    readonly inForce: boolean;
    readonly gateways: readonly GatewayChangeStatus[];
}

/** Writes operators' changes to the store, one after the other, and determines when they are in force. */
export abstract class ChangeCoordinator {
    /** Reads the current configuration; revision 0 if none has been written yet. */
    abstract read(): Promise<Either<Failure, ConfigurationRevision>>;
    /** Writes a change, then waits until it is in force, for at most `waitMs` milliseconds. */
    abstract apply(req: ChangeRequest, waitMs: number): Promise<Either<Failure, ChangeStatus>>;
    /** @returns the status of the current configuration */
    abstract changeStatus(): Promise<Either<Failure, ChangeStatus>>;
    /**
     * Records an operator's confirmation that a gateway has ended and that no process will be started under its name
     * without the store. Idempotent.
     *
     * @param name - name of the gateway
     * @returns nothing; `badRequest` if the gateway is alive, `notFound` if the fleet has no gateway of this name, or
     *          the store's failure
     */
    abstract forget(name: string): Promise<Either<Failure, void>>;
}
