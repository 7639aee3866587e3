import { type ConfigurationInput } from "@galenaglade/configuration";
import { type CallerPlanInput } from "@galenaglade/stand-ins";

type Mix = CallerPlanInput["mix"][number];
type Phase = CallerPlanInput["phases"][number];

/** The load of one caller kind on a service. */
interface CallerKindLoad {
    readonly callerKind: string;
    /** Share of the service's requests. */
    readonly share: number;
    readonly patienceMs: number;
}

/** The load on a service, and the log-normal distribution of its processing time. */
export interface ServiceLoad {
    readonly service: string;
    readonly authority: string;
    readonly method: string;
    readonly requiresIdempotencyKey: boolean;
    readonly medianMs: number;
    readonly sigma: number;
    readonly kinds: readonly CallerKindLoad[];
}

/**
 * Lönestat's services, with their patience on a working day. The sizes are Lönestat's; the callers' behavior is
 * assumed.
 */
export const lonestatLoads: readonly ServiceLoad[] = [
    {
        service: "table-reads",
        authority: "tables.lonestat.example",
        method: "GET",
        requiresIdempotencyKey: false,
        medianMs: 40,
        sigma: 0.5,
        kinds: [
            { callerKind: "union", share: 0.5, patienceMs: 2_000 },
            { callerKind: "municipality", share: 0.5, patienceMs: 4_000 },
        ],
    },
    {
        service: "return-intake",
        authority: "returns.lonestat.example",
        method: "POST",
        requiresIdempotencyKey: true,
        medianMs: 60,
        sigma: 0.5,
        kinds: [{ callerKind: "payroll", share: 1, patienceMs: 20_000 }],
    },
    {
        service: "archive-extracts",
        authority: "archive.lonestat.example",
        method: "GET",
        requiresIdempotencyKey: false,
        medianMs: 150,
        sigma: 0.7,
        kinds: [{ callerKind: "researcher", share: 1, patienceMs: 60_000 }],
    },
];

const defaultSlots = 3;

/** @returns the mean processing time of a service's requests, in milliseconds */
function meanWorkMs({ medianMs, sigma }: ServiceLoad): number {
    return medianMs * Math.exp(sigma * sigma / 2);
}

/** @returns the request rate that keeps all slots of a service busy, in requests per second */
export function resolveCapacity(cfg: ConfigurationInput, load: ServiceLoad): number {
    const service = cfg.services.find(candidate => candidate.name === load.service);
    const slots = service?.backendServers.reduce((sum, server) => sum + (server.slots ?? defaultSlots), 0) ?? 0;
    return slots * 1_000 / meanWorkMs(load);
}

/** Request rates that keep all slots busy, in requests per second. */
export interface Capacities {
    readonly total: number;
    readonly byService: ReadonlyMap<string, number>;
}

/** @returns the capacity of each service and of all together */
export function resolveCapacities(cfg: ConfigurationInput, loads: readonly ServiceLoad[]): Capacities {
    const byService = new Map(loads.map(load => [load.service, resolveCapacity(cfg, load)]));
    const total = [...byService.values()].reduce((sum, capacity) => sum + capacity, 0);
    return { total, byService };
}

/**
 * Replaces the configured patience, which depends on the time of day, so that runs at different times are comparable.
 *
 * @param cfg - the configuration
 * @param loads - the loads, with the patience of each caller kind
 * @returns the configuration with the patience of the loads
 */
export function overridePatience(cfg: ConfigurationInput, loads: readonly ServiceLoad[]): ConfigurationInput {
    const services = cfg.services.map(service => {
        const kinds = loads.find(load => load.service === service.name)?.kinds ?? [];
        const maxPatienceMs = Math.max(60_000, ...kinds.map(kind => kind.patienceMs));
        const rules = kinds.map(({ callerKind, patienceMs }) => ({ callerKind, patienceMs }));
        return { ...service, patience: [{ callerKind: "default", patienceMs: maxPatienceMs }, ...rules] as const };
    });
    return { ...cfg, services };
}

/** @returns the callers' request mix, weighted by the capacity of each service */
export function createMix(cfg: ConfigurationInput, loads: readonly ServiceLoad[]): Mix[] {
    return loads.flatMap(load =>
        load.kinds.map(kind => ({
            weight: resolveCapacity(cfg, load) * kind.share,
            service: load.service,
            authority: load.authority,
            callerKind: kind.callerKind,
            method: load.method,
            idempotent: !load.requiresIdempotencyKey,
            keyed: load.requiresIdempotencyKey,
            patienceMs: kind.patienceMs,
            work: { medianMs: load.medianMs, sigma: load.sigma },
            bodyBytes: load.method === "POST" ? 1_024 : 0,
        }))
    );
}

/** A load profile. */
export interface LoadShape {
    readonly name: string;
    /** @param durationMs - total duration of the phases, in milliseconds */
    readonly phases: (capacities: Capacities, durationMs: number) => readonly Phase[];
    /** Takes an availability zone out after a third of the time, and brings it back in after two thirds. */
    readonly takesZoneOut?: boolean | undefined;
    /** Measures the added latency: half of the requests bypass the gateways, and all take the same short time. */
    readonly direct?: boolean | undefined;
}

function steady(share: number): LoadShape["phases"] {
    return ({ total }, durationMs) => [{ durationMs, requestsPerSecond: total * share }];
}

function step(before: number, after: number): LoadShape["phases"] {
    return ({ total }, durationMs) =>
        [before, after].map(share => ({ durationMs: durationMs / 2, requestsPerSecond: total * share }));
}

/** Multiplies the load on one service by `factor` in the middle third; the load on the others stays constant. */
function surge(share: number, service: string, factor: number): LoadShape["phases"] {
    return ({ total, byService }, durationMs) => {
        const noisyShare = (byService.get(service) ?? 0) / total;
        const baseline = { durationMs: durationMs / 3, requestsPerSecond: total * share };
        const requestsPerSecond = baseline.requestsPerSecond * (1 + noisyShare * (factor - 1));
        return [baseline, { ...baseline, requestsPerSecond, surge: { service, factor } }, baseline];
    };
}

/** All load profiles, with the names that the command line accepts. */
export const loadShapes: readonly LoadShape[] = [
    { name: "direct", phases: steady(0.2), direct: true },
    { name: "steady50", phases: steady(0.5) },
    { name: "steady75", phases: steady(0.75) },
    { name: "steady90", phases: steady(0.9) },
    { name: "zone", phases: steady(0.5), takesZoneOut: true },
    { name: "step", phases: step(0.4, 0.85) },
    { name: "noisy", phases: surge(0.5, "archive-extracts", 6) },
];
