import * as z from "zod";

/** Days of the week, as written in the configuration. */
export const weekdays = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"] as const;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower case letters, digits and hyphens, at most 63");
const timeOfDay = z.string().regex(/^(([01]\d|2[0-3]):[0-5]\d|24:00)$/, "a time of day such as 08:30, up to 24:00");
const authority = z.string().regex(
    /^(\*|[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])$/,
    "expected a host name or IP number without port, or `*`",
);
const pathPrefix = z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, "expected a plain path such as /orders");
const method = z.string().regex(/^[A-Z]{1,32}$/, "expected a method in upper case such as POST");
const headerName = z.string().regex(/^[A-Za-z0-9-]{1,64}$/, "expected the name of a header such as x-caller-kind");
const milliseconds = z.number().int().positive().max(86_400_000);

const patienceRule = z.strictObject({
    callerKind: name.describe("the kind of caller; `default` serves every caller that names none"),
    weekdays: z.array(z.enum(weekdays)).nonempty().default([...weekdays])
        .describe("days on which the rule starts; one over midnight belongs to the day before"),
    from: timeOfDay.default("00:00").describe("time of day from which the rule goes"),
    to: timeOfDay.default("24:00").describe("time of day before which it goes; earlier than `from` is over midnight"),
    patienceMs: milliseconds.describe("how long such a caller waits for its whole answer"),
});

const backendServer = z.strictObject({
    name: name.describe("its name within the service"),
    availabilityZone: name.describe("one of `availabilityZones`"),
    address: z.union([z.ipv4(), z.ipv6()], { error: "expected an IP number such as 10.0.0.4" }).describe("IP number"),
    port: z.number().int().min(1).max(65_535).describe("port"),
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
    name: name.describe("its name"),
    authorities: z.array(authority).nonempty()
        .describe("values of the Host header, without port; `*` for those that no other service matches"),
    pathPrefix: pathPrefix.default("/").describe("beginning of the paths that it serves"),
    nonIdempotentMethods: z.array(method).default(["POST", "PATCH"])
        .describe("methods whose requests run at most once: never retried, never hedged"),
    requireIdempotencyKey: z.boolean().default(false)
        .describe("refuse non-idempotent requests that carry no `Idempotency-Key`"),
    maximumBodyBytes: z.number().int().min(0).max(4_294_967_295).default(1_048_576)
        .describe("size of a request's body; larger ones are refused with 413"),
    patience: z.array(patienceRule).nonempty(),
    coldStart: coldStart.prefault({}),
    loadMeasuring: loadMeasuring.prefault({}),
    backendServers: z.array(backendServer),
});

const availabilityZone = z.strictObject({
    name: name.describe("its name"),
    region: name.default("local").describe("region in which it lies"),
    state: z.enum(["in", "out"]).default("in")
        .describe("whether it takes new work; where none is written, apply leaves the state that the zone has"),
});

/** Schema of the operators' configuration file. */
export const configurationSchema = z.strictObject({
    timeZone: z.string().default("UTC").describe("IANA name; patience is declared in its wall-clock time"),
    callerKindHeader: headerName.default("x-caller-kind").describe("request header that names the kind of caller"),
    availabilityZones: z.array(availabilityZone).nonempty(),
    services: z.array(service),
});

/** Makes a type read-only at every level. */
export type DeepReadonly<T> = T extends (infer U)[] ? readonly DeepReadonly<U>[]
    : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]>; }
    : T;

/** A configuration with all defaults filled in. */
export type Configuration = DeepReadonly<z.output<typeof configurationSchema>>;
/** A configuration as written by operators, without defaults. */
export type ConfigurationInput = DeepReadonly<z.input<typeof configurationSchema>>;
/** One declared service. */
export type Service = Configuration["services"][number];
/** One declared backend server. */
export type BackendServer = Service["backendServers"][number];
/** One declared availability zone. */
export type AvailabilityZone = Configuration["availabilityZones"][number];
/** How long callers of one kind wait for a response, on given weekdays and between given times of day. */
export type PatienceRule = Service["patience"][number];
/** A day of the week. */
export type Weekday = typeof weekdays[number];

/**
 * A configuration with its revision in the store. Revisions increase by one with each accepted change and never
 * decrease.
 */
export interface ConfigurationRevision {
    /** 0 is the initial empty configuration. */
    readonly revision: number;
    /** Id of the operator's call that made the change, used to detect a repeated call. */
    readonly changeId: string;
    readonly configuration: Configuration;
}
