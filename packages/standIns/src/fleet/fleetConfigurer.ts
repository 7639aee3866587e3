import { type Configuration, type ConfigurationInput, resolveConfiguration } from "@galenaglade/configuration";
import { type ChangeStatus } from "@galenaglade/membership";
import { createChangeCoordinator } from "@galenaglade/peers";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { randomUUID } from "node:crypto";
import { type Fleet } from "./fleet.js";

const applyTimeoutMs = 20_000;

/** Applies configurations through the store as the admin server does, for fleets without an admin server. */
export class FleetConfigurer {
    readonly #connection: PlatformClient;
    readonly #coordinator: ReturnType<typeof createChangeCoordinator>;

    constructor(fleet: Fleet) {
        this.#connection = new PlatformClient({ addresses: [fleet.platformUrl], client: "operator" });
        const store = new HttpKeyValueStore(this.#connection);
        this.#coordinator = createChangeCoordinator({ store, fleetKey: fleet.fleetKey });
    }

    /**
     * Replaces the current configuration and waits until the new one is in force.
     *
     * @param cfg - the configuration, with or without defaults filled in
     * @throws Error if it is invalid, rejected or not in force within the time limit
     */
    async apply(cfg: ConfigurationInput | Configuration): Promise<ChangeStatus> {
        const configuration = resolveConfiguration(cfg).mapLeft(faults => new Error(JSON.stringify(faults)))
            .unsafeCoerce();
        const current = (await this.#coordinator.read()).mapLeft(failure => new Error(failure.detail)).unsafeCoerce();
        const changeId = randomUUID();
        const applied = await this.#coordinator.apply(
            { changeId, expectedRevision: current.revision, configuration },
            applyTimeoutMs,
        );
        return applied.mapLeft(failure => new Error(`${failure.kind}: ${failure.detail}`)).unsafeCoerce();
    }

    async close(): Promise<void> {
        await this.#connection.close();
    }
}
