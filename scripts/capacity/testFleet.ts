import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type Configuration } from "@galenaglade/configuration";
import { type ChangeStatus } from "@galenaglade/membership";
import { createChangeCoordinator, type StoreChangeCoordinator } from "@galenaglade/peers";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { PlatformServer, type StartedProcess, startProcess } from "@galenaglade/stand-ins";
import { stringify } from "yaml";

const fleetKey = "capacity-key-capacity-key-capacity-key";
const bundle = "dist/galenaglade-gateway.mjs";
const readyPattern = /"ready":true.*"url":"([^"]+)"/;

/** Runs gateways as separate processes with one fake platform, for measurements. */
export class TestFleet {
    readonly gateways: readonly StartedProcess[];
    readonly platform: PlatformServer;
    readonly #connection: PlatformClient;
    readonly #coordinator: StoreChangeCoordinator;
    #revision = 0;

    private constructor(platform: PlatformServer, gateways: readonly StartedProcess[]) {
        this.platform = platform;
        this.gateways = gateways;
        this.#connection = new PlatformClient({ addresses: [platform.url], client: "capacity" });
        this.#coordinator = createChangeCoordinator({ store: new HttpKeyValueStore(this.#connection), fleetKey });
    }

    /** @param count - number of gateways to start */
    static async start(count: number): Promise<TestFleet> {
        const platform = await PlatformServer.start({ hostListLagMs: 0 });
        const folder = mkdtempSync(join(tmpdir(), "galenaglade-capacity-"));
        const starting: Promise<StartedProcess>[] = [];
        for (let i = 0; i < count; i++) {
            starting.push(startGateway(folder, `gateway-${i}`, platform.url));
        }
        return new TestFleet(platform, await Promise.all(starting));
    }

    /**
     * Applies a configuration and waits until it is in force.
     *
     * @throws Error if it isn't in force after 30 s
     */
    async apply(configuration: Configuration): Promise<ChangeStatus> {
        const expectedRevision = this.#revision;
        const req = { changeId: `change-${expectedRevision + 1}`, expectedRevision, configuration };
        const acceptance = (await this.#coordinator.apply(req, 30_000)).unsafeCoerce();
        if (!acceptance.inForce) {
            throw new Error(`revision ${acceptance.revision} did not come into force in time`);
        }
        this.#revision = acceptance.revision;
        return acceptance;
    }

    async stop(): Promise<void> {
        await Promise.all(this.gateways.map(gateway => gateway.stop()));
        await this.#connection.close();
        await this.platform.stop();
    }
}

function startGateway(folder: string, name: string, platformUrl: string): Promise<StartedProcess> {
    const settings = join(folder, `${name}.yaml`);
    writeFileSync(
        settings,
        stringify({
            name,
            availabilityZone: "zone-0",
            callers: { address: "127.0.0.1", port: 0 },
            peers: { address: "127.0.0.1", port: 0 },
            operations: { address: "127.0.0.1", port: 0 },
            platform: { address: platformUrl },
            fleetKey: { value: fleetKey },
            stopping: { balancerWaitMs: 0 },
            logging: { level: "error" },
        }),
    );
    return startProcess({
        name,
        script: bundle,
        args: ["--settings", settings],
        parseReadyUrl: line => readyPattern.exec(line)?.[1],
    });
}
