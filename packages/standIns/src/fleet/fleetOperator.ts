import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { type ConfigurationInput } from "@galenaglade/configuration";
import { OperatorService, type Standing, toConfigurationMessage } from "@galenaglade/schema";
import { randomUUID } from "node:crypto";
import { type Fleet } from "./fleet.js";

/** A client of a fleet's admin server, authenticated as an operator. */
export class FleetOperator {
    readonly #client;

    /** @param fleet - a fleet started with an admin server */
    constructor(fleet: Fleet) {
        const transport = createConnectTransport({
            baseUrl: fleet.adminUrl,
            httpVersion: "1.1",
            interceptors: [next => req => {
                req.header.set("authorization", `Bearer ${fleet.fleetKey}`);
                return next(req);
            }],
        });
        this.#client = createClient(OperatorService, transport);
    }

    /**
     * Replaces the configuration and waits until it is in force.
     *
     * @returns which gateways have the change in force
     * @throws ConnectError if it was rejected or isn't in force within the time limit
     */
    async apply(cfg: ConfigurationInput): Promise<Standing | undefined> {
        const { revision } = await this.#client.getConfiguration({});
        const res = await this.#client.applyConfiguration({
            expectedRevision: revision,
            changeId: randomUUID(),
            configuration: toConfigurationMessage(cfg),
        });
        return res.standing;
    }

    /** Takes an availability zone out of service. @throws ConnectError as {@link apply} */
    async takeZoneOut(name: string): Promise<Standing | undefined> {
        const res = await this.#client.takeZoneOut({ name, changeId: randomUUID() });
        return res.standing;
    }

    /** Returns an availability zone to service. @throws ConnectError as {@link apply} */
    async bringZoneIn(name: string): Promise<Standing | undefined> {
        const res = await this.#client.bringZoneIn({ name, changeId: randomUUID() });
        return res.standing;
    }
}
