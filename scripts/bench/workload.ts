import { type ConfigurationInput } from "@galenaglade/configuration";
import { type CallerPlanInput } from "@galenaglade/stand-ins";

type Mix = CallerPlanInput["mix"][number];
type Phase = CallerPlanInput["phases"][number];

/** What one kind of caller asks of a service. */
interface CallerKindLoad {
    readonly callerKind: string;
    /** Share of the service's requests. */
    readonly share: number;
    readonly patienceMs: number;
}

/** What a service is asked and how long its requests work. */
export interface ServiceLoad {
    readonly service: string;
    readonly authority: string;
    readonly method: string;
    readonly requiresIdempotencyKey: boolean;
    readonly medianMs: number;
    readonly sigma: number;
    readonly kinds: readonly CallerKindLoad[];
}

/** Lönestat's services with the patience of a working day; what the callers do is ours, the sizes are theirs. */
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

/** @returns the mean of a service's work time, in milliseconds */
function meanWorkMs({ medianMs, sigma }: ServiceLoad): number {
    return medianMs * Math.exp(sigma * sigma / 2);
}

/** @returns requests a second that keep every slot of a service busy */
export function resolveCapacity(cfg: ConfigurationInput, load: ServiceLoad): number {
    const service = cfg.services.find(candidate => candidate.name === load.service);
    const slots = service?.backendServers.reduce((sum, server) => sum + (server.slots ?? defaultSlots), 0) ?? 0;
    return slots * 1_000 / meanWorkMs(load);
}

/** Requests a second that keep every slot busy. */
export interface Capacities {
    readonly total: number;
    readonly byService: ReadonlyMap<string, number>;
}

/** @returns what each service and all together can bear */
export function resolveCapacities(cfg: ConfigurationInput, loads: readonly ServiceLoad[]): Capacities {
    const byService = new Map(loads.map(load => [load.service, resolveCapacity(cfg, load)]));
    const total = [...byService.values()].reduce((sum, capacity) => sum + capacity, 0);
    return { total, byService };
}

/**
 * Replaces the declared patience, which depends on the hour, by the bench's own, so that runs at any hour compare.
 *
 * @param cfg - declarations
 * @param loads - what the callers do
 */
export function overridePatience(cfg: ConfigurationInput, loads: readonly ServiceLoad[]): ConfigurationInput {
    const services = cfg.services.map(service => {
        const kinds = loads.find(load => load.service === service.name)?.kinds ?? [];
        const longest = Math.max(60_000, ...kinds.map(kind => kind.patienceMs));
        const rules = kinds.map(({ callerKind, patienceMs }) => ({ callerKind, patienceMs }));
        return { ...service, patience: [{ callerKind: "default", patienceMs: longest }, ...rules] as const };
    });
    return { ...cfg, services };
}

/** @returns what the callers send, in proportion to what each service can bear */
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

/** One shape of load. */
export interface LoadShape {
    readonly name: string;
    /** @param durationMs - of the whole */
    readonly phases: (capacities: Capacities, durationMs: number) => readonly Phase[];
    /** Takes an availability zone out after a third of the time, and brings it back after two. */
    readonly takesZoneOut?: boolean | undefined;
    /** Measures the time added: half of the requests go past the gateways, and each works the same short time. */
    readonly direct?: boolean | undefined;
}

function steady(share: number): LoadShape["phases"] {
    return ({ total }, durationMs) => [{ durationMs, requestsPerSecond: total * share }];
}

function step(before: number, after: number): LoadShape["phases"] {
    return ({ total }, durationMs) =>
        [before, after].map(share => ({ durationMs: durationMs / 2, requestsPerSecond: total * share }));
}

/** One service is asked for `factor` times as much in the middle third; the others for the same all the time. */
function surge(share: number, service: string, factor: number): LoadShape["phases"] {
    return ({ total, byService }, durationMs) => {
        const noisyShare = (byService.get(service) ?? 0) / total;
        const calm = { durationMs: durationMs / 3, requestsPerSecond: total * share };
        const requestsPerSecond = calm.requestsPerSecond * (1 + noisyShare * (factor - 1));
        return [calm, { ...calm, requestsPerSecond, surge: { service, factor } }, calm];
    };
}

/** All shapes, by the name that the command line takes. */
export const loadShapes: readonly LoadShape[] = [
    { name: "direct", phases: steady(0.2), direct: true },
    { name: "steady50", phases: steady(0.5) },
    { name: "steady75", phases: steady(0.75) },
    { name: "steady90", phases: steady(0.9) },
    { name: "zone", phases: steady(0.5), takesZoneOut: true },
    { name: "step", phases: step(0.4, 0.85) },
    { name: "noisy", phases: surge(0.5, "archive-extracts", 6) },
];
