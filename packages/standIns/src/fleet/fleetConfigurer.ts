import { type Configuration, type ConfigurationInput, resolveConfiguration } from "@galenaglade/configuration";
import { type Acceptance } from "@galenaglade/membership";
import { createChangeCoordinator } from "@galenaglade/peers";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { randomUUID } from "node:crypto";
import { type Fleet } from "./fleet.js";

const waitMs = 20_000;

/** Writes configurations as admin does, for fleets that run without one. */
export class FleetConfigurer {
    readonly #connection: PlatformClient;
    readonly #coordinator: ReturnType<typeof createChangeCoordinator>;

    constructor(fleet: Fleet) {
        this.#connection = new PlatformClient({ addresses: [fleet.platformUrl], client: "operator" });
        const store = new HttpKeyValueStore(this.#connection);
        this.#coordinator = createChangeCoordinator({ store, fleetKey: fleet.fleetKey });
    }

    /**
     * Replaces the present configuration, and waits until the new one is in force.
     *
     * @param cfg - declarations, with or without their defaults
     * @throws Error where it isn't valid, is refused or isn't in force in time
     */
    async apply(cfg: ConfigurationInput | Configuration): Promise<Acceptance> {
        const configuration = resolveConfiguration(cfg).mapLeft(faults => new Error(JSON.stringify(faults)))
            .unsafeCoerce();
        const present = (await this.#coordinator.read()).mapLeft(failure => new Error(failure.detail)).unsafeCoerce();
        const changeId = randomUUID();
        const applied = await this.#coordinator.apply(
            { changeId, expectedRevision: present.revision, configuration },
            waitMs,
        );
        return applied.mapLeft(failure => new Error(`${failure.kind}: ${failure.detail}`)).unsafeCoerce();
    }

    async close(): Promise<void> {
        await this.#connection.close();
    }
}
