import { z } from "zod";

/** Days of the week as an operator writes them. */
export const weekdays = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"] as const;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower case letters, digits and hyphens, at most 63");
const timeOfDay = z.string().regex(/^(([01]\d|2[0-3]):[0-5]\d|24:00)$/, "a time of day such as 08:30, up to 24:00");
const milliseconds = z.number().int().positive().max(86_400_000);

const patienceRule = z.strictObject({
    callerKind: name.describe("the kind of caller; `default` serves every caller that names none"),
    weekdays: z.array(z.enum(weekdays)).nonempty().default([...weekdays]),
    from: timeOfDay.default("00:00"),
    to: timeOfDay.default("24:00"),
    patienceMs: milliseconds,
});

const backendServer = z.strictObject({
    name,
    availabilityZone: name,
    address: z.union([z.ipv4(), z.ipv6()]).describe("IP number"),
    port: z.number().int().min(1).max(65_535),
    slots: z.number().int().min(1).max(4_096).default(3).describe("requests that it runs at the same time"),
    connections: z.number().int().min(1).max(65_536).default(200).describe("connections that it holds open"),
});

const coldStart = z.strictObject({
    concurrency: z.number().int().min(1).max(4_096).default(1).describe(
        "requests in flight that a cold server bears, fleet-wide",
    ),
    answersToWarm: z.number().int().min(1).max(1_000_000).default(20).describe(
        "good answers in a row until it counts as warm",
    ),
    idleMs: milliseconds.default(300_000).describe("idle time after which a server is tried with one request first"),
});

const loadMeasuring = z.strictObject({
    probesPerSecond: z.number().positive().max(1_000).default(2).describe("budget per backend server, fleet-wide"),
    seats: z.number().int().min(1).max(64).default(4).describe("gateways that may probe one backend server"),
});

const service = z.strictObject({
    name,
    authorities: z.array(z.string().min(1)).nonempty().describe("values of the Host header, without port; `*` for any"),
    pathPrefix: z.string().startsWith("/").default("/"),
    nonIdempotentMethods: z.array(z.string()).default(["POST", "PATCH"]),
    requireIdempotencyKey: z.boolean().default(false),
    maximumBodyBytes: z.number().int().min(0).max(4_294_967_295).default(1_048_576),
    patience: z.array(patienceRule).nonempty(),
    coldStart: coldStart.prefault({}),
    loadMeasuring: loadMeasuring.prefault({}),
    backendServers: z.array(backendServer),
});

const availabilityZone = z.strictObject({
    name,
    region: name.default("local"),
    state: z.enum(["in", "out"]).default("in"),
});

/** What operators declare, as they write it. */
export const configurationSchema = z.strictObject({
    timeZone: z.string().default("UTC").describe("IANA name; patience is declared in its wall-clock time"),
    callerKindHeader: z.string().default("x-caller-kind"),
    availabilityZones: z.array(availabilityZone).nonempty(),
    services: z.array(service),
});

/** Widens nothing, forbids every write. */
export type DeepReadonly<T> = T extends (infer U)[] ? readonly DeepReadonly<U>[]
    : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]>; }
    : T;

/** The operators' declarations with every default filled in. */
export type Configuration = DeepReadonly<z.output<typeof configurationSchema>>;
/** The operators' declarations as written. */
export type ConfigurationInput = DeepReadonly<z.input<typeof configurationSchema>>;
/** One declared service. */
export type Service = Configuration["services"][number];
/** One declared backend server. */
export type BackendServer = Service["backendServers"][number];
/** One declared availability zone. */
export type AvailabilityZone = Configuration["availabilityZones"][number];
/** How long one kind of caller waits in one stretch of the week. */
export type PatienceRule = Service["patience"][number];
/** A day of the week. */
export type Weekday = typeof weekdays[number];

/** A configuration as the store orders it. Revisions rise by one with each accepted change and never fall. */
export interface RevisedConfiguration {
    /** Rises by one with each change; 0 is the empty configuration that nobody has written. */
    readonly revision: number;
    /** Names the operator's call that made it, so that a repeated call is recognised. */
    readonly changeId: string;
    readonly configuration: Configuration;
}
