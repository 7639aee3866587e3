import { type ColdStartHeartbeat, type GatewayRoster } from "@galenaglade/cold-start";
import { type Failure } from "@galenaglade/errors";
import { type GatewayIdentity } from "@galenaglade/membership";
import { type FleetMembership } from "@galenaglade/peers";
import { type Either } from "purify-ts";
import { ColdStartPeers } from "./coldStartGate.js";

/** Provides the fleet's roster and peer calls for coordinating cold starts. */
export class FleetColdStartPeers extends ColdStartPeers {
    readonly #fleet: FleetMembership;

    /** @param fleet - this gateway's membership in the fleet */
    constructor(fleet: FleetMembership) {
        super();
        this.#fleet = fleet;
    }

    override roster(): GatewayRoster {
        const roster = this.#fleet.roster();
        if (roster === undefined) {
            return { version: 0, members: [] };
        }
        return {
            version: roster.version,
            members: roster.members.map(formatIncarnationId),
            previous: roster.previous?.map(formatIncarnationId),
        };
    }

    override exchange(heartbeat: ColdStartHeartbeat): readonly Promise<Either<Failure, ColdStartHeartbeat>>[] {
        return this.#fleet.exchangeColdStart(heartbeat);
    }
}

/** @returns the id of one incarnation of a gateway's process: `name/incarnation` */
export function formatIncarnationId({ name, incarnation }: Pick<GatewayIdentity, "name" | "incarnation">): string {
    return `${name}/${incarnation}`;
}
