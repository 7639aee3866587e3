import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { type ConfigurationInput } from "@galenaglade/configuration";
import { OperatorService, type Standing, toConfigurationMessage } from "@galenaglade/schema";
import { randomUUID } from "node:crypto";
import { type Fleet } from "./fleet.js";

/** Makes an operator's calls to a fleet's admin. */
export class FleetOperator {
    readonly #client;

    /** @param fleet - with admin */
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
     * Applies a whole configuration, and waits until it is in force.
     *
     * @throws ConnectError where it was refused, or isn't in force in time
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

    /** Takes an availability zone out. @throws ConnectError as {@link apply} */
    async takeZoneOut(name: string): Promise<Standing | undefined> {
        const res = await this.#client.takeZoneOut({ name, changeId: randomUUID() });
        return res.standing;
    }

    /** Brings an availability zone back in. @throws ConnectError as {@link apply} */
    async bringZoneIn(name: string): Promise<Standing | undefined> {
        const res = await this.#client.bringZoneIn({ name, changeId: randomUUID() });
        return res.standing;
    }
}
