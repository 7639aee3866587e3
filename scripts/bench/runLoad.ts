import { setZoneState } from "@galenaglade/configuration";
import { resolveConfiguration } from "@galenaglade/configuration";
import {
    type CallerPlanInput,
    type Fleet,
    type FleetConfigurer,
    type OutcomeCounts,
    startProcess,
    OutcomeTally,
    tallySchema,
} from "@galenaglade/stand-ins";
import { readFileSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { z } from "zod";
import { readProcessUsage } from "./processUsage.js";
import { type KindResult, type RunResult } from "./results.js";
import { createMix, type LoadShape, lonestatLoads, resolveCapacities } from "./workload.js";

/** Options of a run, which applies one load to the running gateways. */
export interface RunOptions {
    readonly fleet: Fleet;
    readonly configurer: FleetConfigurer;
    readonly load: LoadShape;
    readonly variant: string;
    readonly round: number;
    readonly seconds: number;
    /** Seed of the load; the same for every variant of a round. */
    readonly seed: number;
}

const callerScript = fileURLToPath(new URL("../../packages/standIns/src/caller/cli.ts", import.meta.url));
/** Share of each run, at its beginning, whose requests are sent but not counted. */
const warmUpShare = 0.1;
const directWorkMs = 5;
const counters = z.object({ total: z.object({ reads: z.number(), writes: z.number() }) });

interface Snapshot {
    readonly atMs: number;
    readonly cpuMs: number;
    readonly rssMegabytes: number;
    readonly reads: number;
    readonly writes: number;
}

/**
 * Applies a load and measures its results.
 *
 * @param options - options of the run
 * @returns the results of the run
 */
export async function runLoad(options: RunOptions): Promise<RunResult> {
    const { fleet, load, variant, round } = options;
    const before = await takeSnapshot(fleet);
    const faults: string[] = [];
    const zone = load.takesZoneOut === true
        ? takeZoneOutAndIn(options).catch((err: unknown) => faults.push(String(err)))
        : undefined;
    const tally = await runCaller(options, faults);
    await zone;
    const after = await takeSnapshot(fleet);
    const seconds = (after.atMs - before.atMs) / 1_000;
    const kinds: Record<string, KindResult> = {};
    for (const name of tally.kinds) {
        kinds[name] = {
            counts: tally.getCounts(name),
            latency: tally.getLatency(name),
            refusal: tally.getRefusalLatency(name),
        };
    }
    return {
        round,
        variant,
        load: load.name,
        kinds,
        gatewayCpuMsPerRequest: (after.cpuMs - before.cpuMs) / countGatewayRequests(kinds) * (1 - warmUpShare),
        gatewayRssMegabytes: after.rssMegabytes,
        storeReadsPerSecond: (after.reads - before.reads) / seconds,
        storeWritesPerSecond: (after.writes - before.writes) / seconds,
        machineLoad: loadavg()[0] ?? NaN,
        faults,
    };
}

function countGatewayRequests(kinds: Readonly<Record<string, KindResult>>): number {
    let sent = 0;
    for (const [name, { counts }] of Object.entries(kinds)) {
        sent += name.endsWith("/direct") ? 0 : counts.sent;
    }
    return sent;
}

async function runCaller(options: RunOptions, faults: string[]): Promise<OutcomeTally> {
    const { fleet, load, variant, round } = options;
    const name = `${load.name}-${variant}-${round}`;
    const planPath = join(fleet.directory, `${name}.plan.json`);
    const resultPath = join(fleet.directory, `${name}.result.json`);
    writeFileSync(planPath, JSON.stringify(createPlan(name, options)));
    const args = ["--plan", planPath, "--result", resultPath];
    const caller = await startProcess({ name: "caller", script: callerScript, args });
    const exit = await caller.exited;
    if (exit.code !== 0) {
        throw new Error(`the caller process exited with ${exit.code ?? exit.signal ?? ""}`);
    }
    const tally = OutcomeTally.merge([tallySchema.parse(JSON.parse(readFileSync(resultPath, "utf8")))]);
    for (const kind of tally.kinds) {
        faults.push(...findFaults(kind, tally.getCounts(kind)));
    }
    return tally;
}

function* findFaults(kind: string, counts: OutcomeCounts): Iterable<string> {
    if (counts.notSent > 0) {
        yield `${kind}: ${counts.notSent} requests were not sent because too many were in flight`;
    }
    if (counts.wrong > 0) {
        yield `${kind}: ${counts.wrong} responses belonged to another request or were corrupted`;
    }
}

function createPlan(name: string, { fleet, load, seconds, seed }: RunOptions): CallerPlanInput {
    const capacities = resolveCapacities(fleet.configuration, lonestatLoads);
    const durationMs = seconds * 1_000;
    const targets = fleet.gateways.map(gateway => gateway.process.url) as [string, ...string[]];
    const mix = load.direct === true ? createDirectMix(fleet) : createMix(fleet.configuration, lonestatLoads);
    return {
        name,
        seed,
        targets,
        mix: mix,
        phases: [...load.phases(capacities, durationMs)] as CallerPlanInput["phases"],
        warmUpMs: durationMs * warmUpShare,
    };
}

/** Sends the same short work through the gateways and directly to the servers; the difference is the added latency. */
function createDirectMix(fleet: Fleet): CallerPlanInput["mix"][number][] {
    const [service] = lonestatLoads;
    if (service === undefined) {
        return [];
    }
    const urls = fleet.backendServers
        .filter(server => server.service === service.service)
        .map(server => server.process.url);
    const common = {
        service: service.service,
        authority: service.authority,
        patienceMs: 2_000,
        work: { medianMs: directWorkMs, sigma: 0 },
    };
    return [
        { ...common, callerKind: "through" },
        { ...common, callerKind: "direct", targets: urls },
    ];
}

async function takeZoneOutAndIn({ fleet, configurer, seconds }: RunOptions): Promise<void> {
    const cfg = resolveConfiguration(fleet.configuration).unsafeCoerce();
    const name = cfg.availabilityZones[0]?.name ?? "";
    await sleep(seconds * 1_000 / 3);
    await configurer.apply(setZoneState(cfg, name, "out").unsafeCoerce());
    await sleep(seconds * 1_000 / 3);
    await configurer.apply(setZoneState(cfg, name, "in").unsafeCoerce());
}

async function takeSnapshot(fleet: Fleet): Promise<Snapshot> {
    const res = await request(`${fleet.platformUrl}/counters`);
    const { total } = counters.parse(await res.body.json());
    const usages = fleet.gateways.map(gateway => readProcessUsage(gateway.process.pid));
    return {
        atMs: performance.now(),
        cpuMs: usages.reduce((sum, usage) => sum + usage.cpuMs, 0),
        rssMegabytes: Math.max(...usages.map(usage => usage.rssMegabytes)),
        ...total,
    };
}
