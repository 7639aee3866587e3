import { createRandomSource } from "@galenaglade/routing";
import { type Limiter, LimitSimulation } from "./limitSimulation.js";

/** Options of a simulated fleet that is being started. */
export interface FleetOptions {
    readonly hosts: number;
    readonly perSecond: number;
    readonly burst?: number;
    readonly seed: number;
    readonly decisionTimeoutMs?: number;
    readonly create?: ((name: string) => Limiter) | undefined;
}

/** Load of caller requests, spread over the running hosts. */
export interface OfferedLoad {
    readonly perSecond: number;
    readonly fromMs: number;
    readonly untilMs: number;
    /** Maximum number of retries of a refused caller. */
    readonly retries?: number;
}

/** @returns a fleet whose hosts start within half a second */
export function createFleet(
    { hosts, perSecond, burst = perSecond, seed, decisionTimeoutMs, create }: FleetOptions,
): LimitSimulation {
    const simulation = new LimitSimulation(hosts, createRandomSource(seed + 1), create);
    for (const host of simulation.hosts) {
        host.rule = { workspace: `workspace ${seed}`, perSecond, burst, configVersion: 1, decisionTimeoutMs };
        simulation.queue.schedule(simulation.random.next() * 500, () => simulation.start(host, 300));
    }
    return simulation;
}

/** Schedules requests at random times with a constant mean rate. @returns the number of requests */
export function offerPoissonLoad(
    simulation: LimitSimulation,
    { perSecond, fromMs, untilMs, retries = 0 }: OfferedLoad,
): number {
    const random = createRandomSource(99);
    let offered = 0;
    for (let atMs = fromMs; atMs < untilMs; atMs -= Math.log(1 - random.next()) * 1_000 / perSecond) {
        simulation.queue.schedule(atMs, () => simulation.sendCallerRequest(retries));
        offered++;
    }
    return offered;
}

/** Schedules all requests that a token bucket allows, in bursts after random pauses. @returns the number of requests */
export function offerLoadAtLimit(simulation: LimitSimulation, load: OfferedLoad & { readonly burst: number; }): number {
    const random = createRandomSource(7);
    let level = load.burst;
    let offered = 0;
    for (let atMs = load.fromMs; atMs < load.untilMs;) {
        for (; level >= 1; level--) {
            simulation.queue.schedule(atMs, () => simulation.sendCallerRequest(0));
            offered++;
        }
        const pauseMs = (random.next() < 0.2 ? random.next() * 3_000 : 10) + 1_000 / load.perSecond * random.next();
        atMs += pauseMs;
        level = Math.min(Math.max(1, load.burst), level + pauseMs * load.perSecond / 1_000);
    }
    return offered;
}
