import { resolveConfiguration } from "@galenaglade/configuration";
import { BackendServer, Caller, callerPlanSchema } from "@galenaglade/stand-ins";
import { type Measurement } from "./measurement.js";
import { readProcessUsage } from "./processUsage.js";
import { fitSlope, type Sample } from "./slope.js";
import { TestFleet } from "./testFleet.js";

/** Offered loads on one gateway, in requests per second. */
const loads = [200, 400, 800, 1_600];
const rounds = 3;
const durationMs = 5_000;
const backendCount = 9;
/** Many slots, so that the backend servers' queues don't affect the measurement of the gateway. */
const slots = 64;
const patienceMs = 2_000;

/** Measures the processor time of a gateway against its offered load. Requires `npm run build`. */
export async function measureRequests(): Promise<readonly Measurement[]> {
    const backends = await startBackends();
    const fleet = await TestFleet.start(1);
    const gateway = fleet.gateways[0];
    if (gateway === undefined) {
        throw new Error("no gateway has been started");
    }
    try {
        await fleet.apply(describe(backends));
        // A first run, which isn't measured, warms up the JIT compiler.
        await offer(gateway.url, loads[0] ?? 1, 0);
        const samples: Sample[][] = [];
        for (let round = 0; round < rounds; round++) {
            const taken: Sample[] = [];
            for (const size of loads) {
                const before = readProcessUsage(gateway.pid).cpuMs;
                await offer(gateway.url, size, round);
                const spentMs = readProcessUsage(gateway.pid).cpuMs - before;
                taken.push({ size, value: spentMs / (durationMs / 1_000) });
            }
            samples.push(taken);
        }
        return [{
            name: "gatewayCpuPerRequest",
            per: "request/s",
            unit: "ms/s",
            rounds: samples,
            slope: fitSlope(samples),
        }];
    }
    finally {
        await fleet.stop();
        await Promise.all(backends.map(backend => backend.stop()));
    }
}

function startBackends(): Promise<BackendServer[]> {
    const starting: Promise<BackendServer>[] = [];
    for (let i = 0; i < backendCount; i++) {
        starting.push(BackendServer.start({ name: `server-${i}`, availabilityZone: "zone-0", capacity: { slots } }));
    }
    return Promise.all(starting);
}

function describe(backends: readonly BackendServer[]): ReturnType<typeof mustResolve> {
    return mustResolve({
        availabilityZones: [{ name: "zone-0" }],
        services: [{
            name: "tables",
            authorities: ["*"],
            patience: [{ callerKind: "default", patienceMs }],
            backendServers: backends.map((backend, i) => ({
                name: `server-${i}`,
                availabilityZone: "zone-0",
                address: "127.0.0.1",
                port: Number(new URL(backend.url).port),
                slots,
            })),
        }],
    });
}

function mustResolve(document: unknown) {
    return resolveConfiguration(document).unsafeCoerce();
}

async function offer(url: string, requestsPerSecond: number, seed: number): Promise<void> {
    const plan = callerPlanSchema.parse({
        name: `caller-${requestsPerSecond}-${seed}`,
        seed,
        targets: [url],
        mix: [{
            service: "tables",
            authority: "tables.example",
            patienceMs,
            work: { medianMs: 2, sigma: 0.1 },
        }],
        phases: [{ durationMs, requestsPerSecond }],
    });
    const tally = await new Caller(plan).run();
    const counts = tally.getCounts("tables/default");
    if (counts.whole < counts.sent * 0.99) {
        throw new Error(
            `only ${counts.whole} of ${counts.sent} requests got a complete response at ${requestsPerSecond}/s`,
        );
    }
}
