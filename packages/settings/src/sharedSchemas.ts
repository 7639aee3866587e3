/** Schemas that several settings files share. */
import * as z from "zod";
import { minFleetKeyLength } from "./constants.js";

/** An IPv4 or IPv6 address. */
export const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: "expected an IP number such as 10.0.0.4" });

/** A port to listen on; 0 selects a free port, for tests. */
export const port = z.number().int().min(0).max(65_535);

/** A duration in milliseconds, at least 1. */
export const milliseconds = z.number().int().min(1).max(86_400_000);

/** A duration in milliseconds, or 0. */
export const millisecondsOrZero = z.number().int().min(0).max(86_400_000);

/** The name of a host or an availability zone. */
export const name = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "expected lower case letters, digits and hyphens, at most 63",
);

/** Connection to the platform. */
export const platform = z.strictObject({
    address: z.url({ protocol: /^https?$/, error: "expected a URL such as http://10.0.0.2:4000" })
        .describe("URL of the platform's service, without path"),
    callTimeoutMs: milliseconds.default(1_000).describe("how long one call of the platform may take"),
});

/** The key shared by all processes of the fleet, inline or in a file. */
export const fleetKey = z.strictObject({
    file: z.string().min(1).optional().describe("file that holds the key; white space around it is ignored"),
    value: z.string().min(minFleetKeyLength).optional().describe("the key itself"),
}).refine(
    key => (key.file === undefined) !== (key.value === undefined),
    { error: "expected exactly one of file, value" },
);

/** Logging. */
export const logging = z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info").describe("least serious level that is logged"),
});

/**
 * How long a gateway may accept new work after its last contact with the store.
 *
 * After this time a gateway stops using its configuration, and the operators' server reports a change as in force
 * without waiting any longer for gateways that it can't reach. A gateway with a longer time would still send work under
 * the old configuration at that point, so the value must be the same in the whole fleet.
 */
export const freshness = z.strictObject({
    maximumAgeMs: milliseconds.min(1_000).max(60_000).default(5_000)
        .describe("time without word from the store after which peers must vouch; the same in the whole fleet"),
});
