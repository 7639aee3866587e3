import { checkYaml, type DeepReadonly, type LocatedFault, createSchemaResolver } from "@galenaglade/configuration";
import { parseSocketAddress } from "@galenaglade/fleet-state";
import { defaultCallerMemoryLimits } from "@galenaglade/http-parts";
import { type Either } from "purify-ts";
import * as z from "zod";
import { maxCallerConnections } from "./constants.js";

const socketAddress = z.string().refine(
    text => parseSocketAddress(text) !== undefined,
    "expected an address such as 10.0.0.4:8080",
);
/** Bytes in one megabyte of a setting. */
export const bytesPerMegabyte = 1_048_576;
const defaultHeldMegabytes = defaultCallerMemoryLimits.maxBytes / bytesPerMegabyte;
const seconds = z.number().min(0).max(86_400);

const repeats = z.object({
    ratio: z.number().min(0).max(10).describe("repeats for each request of a service, in the whole fleet"),
    slack: z.number().min(0).max(1_000_000).describe("repeats besides, in the whole fleet and one window"),
    windowSeconds: seconds.describe("length of the window"),
});

/** Schema of an edge process's YAML settings. Unknown fields are ignored for forward compatibility. */
export const edgeSettingsSchema = z.object({
    name: z.string().min(1).max(120).describe("name of this host; its registration goes by it"),
    availabilityZone: z.string().min(1).describe("availability zone in which this host stands"),
    listen: z.object({
        callers: socketAddress.describe("where callers' requests are taken"),
        readiness: socketAddress.describe("where the balancer asks whether to send callers here"),
        peers: socketAddress.optional().describe(
            "where other gateways ask for changes of the store; without it none asks this one",
        ),
        metrics: socketAddress.describe("where metrics are served, under /metrics"),
    }),
    store: z.object({
        address: socketAddress.describe("where the store is reached"),
        shortestLeaseSeconds: seconds.default(1).describe("shortest lease that the store grants"),
    }),
    servers: z.object({
        connectFrom: z.ipv4("expected an address such as 10.0.0.4").optional()
            .describe("local address from which backend servers are called; the system's choice where it is missing"),
    }).prefault({}),
    stopping: z.object({
        graceSeconds: seconds.describe("time from the signal to stop until the process is killed"),
    }),
    callers: z.object({
        maxConnections: z.number().int().min(1).max(1_000_000).default(maxCallerConnections)
            .describe("open connections of callers; the longest idle one is closed for one more"),
        maxHeldMegabytes: z.number().positive().max(1_000_000).default(defaultHeldMegabytes)
            .describe("memory that all callers together may make this host hold, in megabytes (1,048,576 bytes)"),
        maxRequestsAhead: z.number().int().min(1).max(100_000).default(defaultCallerMemoryLimits.maxRequestsAhead)
            .describe("requests on one connection that wait for their responses; it closes behind the last of them"),
    }).prefault({}),
    repeats,
    asking: z.object({
        perServerAndSecond: z.number().positive().default(30)
            .describe("times a second that one backend server may be asked for its load, by the whole fleet"),
    }).prefault({}),
    rollouts: z.object({
        exposureShare: z.number().min(0).max(1).default(0.1)
            .describe("share of a service's requests that a version may get before it is proved"),
    }).prefault({}),
    workspaceLimits: z.object({
        overshoot: z.number().min(0).max(10).default(0.1)
            .describe(
                "share by which a workspace's requests in five seconds may lie above its limit, in the whole fleet",
            ),
        slack: z.number().min(0).max(1_000_000).default(20).describe("requests besides that may lie above it"),
    }).prefault({}),
    quarantine: z.object({
        firstTrialSeconds: seconds.default(4)
            .describe(
                "time after the latest crash until a request that ended its servers is tried once, on one server",
            ),
        secondTrialSeconds: seconds.default(600).describe("the same for the second and last time, after the first"),
    }).prefault({}),
    logging: z.object({
        level: z.enum(["error", "warn", "info", "debug"]).default("info").describe(
            "least serious level that is logged",
        ),
    }).prefault({}),
});

/** An edge process's settings with all defaults applied. */
export type ResolvedEdgeSettings = DeepReadonly<z.output<typeof edgeSettingsSchema>>;

/**
 * Validates an edge process's settings and applies all defaults.
 *
 * @param text - YAML
 * @returns all faults, each with its line, or the frozen settings
 */
export function resolveEdgeSettings(text: string): Either<readonly LocatedFault[], ResolvedEdgeSettings> {
    return checkYaml(text, createSchemaResolver(edgeSettingsSchema)).map(settings => Object.freeze(settings));
}
