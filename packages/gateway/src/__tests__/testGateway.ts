import { type ConfigurationInput, resolveConfiguration, type ConfigurationRevision } from "@galenaglade/configuration";
import { type KeyValueStore } from "@galenaglade/platform";
import { createRoutingPolicy } from "@galenaglade/routing";
import { createLogger, createMetrics, createTracing } from "@galenaglade/telemetry";
import { type AddressInfo } from "node:net";
import { createServer, type RequestListener, type Server } from "node:http";
import { type TestContext } from "node:test";
import { type ConfigurationSource } from "../configurationSource.js";
import { systemClock } from "@galenaglade/http-parts";
import { createGateway, type Gateway } from "../gateway.js";
import { type ServerGate } from "../requests/serverGate.js";
import { RequestClaims } from "../requests/requestClaims.js";

/** A configuration source that is controlled by the test. */
export class FixedSource implements ConfigurationSource {
    fresh = true;
    #revised: ConfigurationRevision | undefined;
    #callback: ((revised: ConfigurationRevision) => void) | undefined;

    current(): ConfigurationRevision | undefined {
        return this.#revised;
    }

    mayTakeNewWork(): boolean {
        return this.fresh;
    }

    onConfiguration(callback: (revised: ConfigurationRevision) => void): void {
        this.#callback = callback;
    }

    apply(revision: number, input: ConfigurationInput): void {
        const configuration = resolveConfiguration(input).unsafeCoerce();
        this.#revised = { revision, changeId: `change-${revision}`, configuration };
        this.#callback?.(this.#revised);
    }
}

/** Starts a backend server on a free port and stops it after the test. @returns the port */
export async function startBackend(t: TestContext, listener: RequestListener): Promise<number> {
    const server: Server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
}

/** Describes a service `tables` with backend servers on the given ports, all in availability zone `north`. */
export function describeService(ports: readonly number[], patienceMs = 5_000): ConfigurationInput {
    return {
        availabilityZones: [{ name: "north" }],
        services: [{
            name: "tables",
            authorities: ["*"],
            pathPrefix: "/tables",
            patience: [{ callerKind: "default", patienceMs }],
            backendServers: ports.map((port, i) => ({
                name: `tables-${i}`,
                availabilityZone: "north",
                address: "127.0.0.1",
                port,
            })),
        }],
    };
}

/** A gateway under test with its URLs. */
export interface TestGateway {
    readonly gateway: Gateway;
    readonly url: string;
    readonly operationsUrl: string;
}

/** Starts a gateway on free ports and stops it after the test. */
export async function startGateway(
    t: TestContext,
    source: ConfigurationSource,
    store?: KeyValueStore,
    gate?: ServerGate,
): Promise<TestGateway> {
    const logger = createLogger({ process: "gateway-test", level: "error", json: true, write: () => undefined });
    const metrics = createMetrics("gateway-test");
    const gateway = createGateway({
        availabilityZone: "north",
        callers: {
            address: "127.0.0.1",
            port: 0,
            maximumConnections: 100,
            maximumHeaderBytes: 16_384,
            requestTimeoutMs: 10_000,
        },
        operations: { address: "127.0.0.1", port: 0 },
        stopping: { balancerWaitMs: 0, drainMs: 5_000 },
        configurationSource: source,
        policy: createRoutingPolicy("freeSlotFirst") ?? failTest(),
        seed: 1,
        logger,
        metrics,
        tracing: createTracing({ process: "gateway-test", samplingRatio: 0, logger }),
        ...(gate === undefined ? {} : { gate }),
        ...(store === undefined ? {} : { claims: new RequestClaims({ store, holder: "test/1", clock: systemClock }) }),
    });
    const { callersPort, operationsPort } = await gateway.start();
    t.after(() => gateway.stop());
    return { gateway, url: `http://127.0.0.1:${callersPort}`, operationsUrl: `http://127.0.0.1:${operationsPort}` };
}

function failTest(): never {
    throw new Error("no such policy");
}
