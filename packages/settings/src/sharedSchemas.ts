/** Pieces that more than one settings schema is made of. */
import * as z from "zod";
import { minFleetKeyLength } from "./constants.js";

/** An IP number to listen on or to be reached at. */
export const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: "expected an IP number such as 10.0.0.4" });

/** A port to listen on; 0 lets the system choose one, which only tests want. */
export const port = z.number().int().min(0).max(65_535);

/** A span of time in milliseconds. */
export const milliseconds = z.number().int().min(1).max(86_400_000);

/** A span of time in milliseconds that may be nothing. */
export const millisecondsOrZero = z.number().int().min(0).max(86_400_000);

/** The name of a host or an availability zone. */
export const name = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "expected lower case letters, digits and hyphens, at most 63",
);

/** How to reach the platform. */
export const platform = z.strictObject({
    address: z.url({ protocol: /^https?$/, error: "expected a URL such as http://10.0.0.2:4000" })
        .describe("URL of the platform's service, without path"),
    callTimeoutMs: milliseconds.default(1_000).describe("how long one call of the platform may take"),
});

/** The key that all processes of the fleet share, inline or in a file. */
export const fleetKey = z.strictObject({
    file: z.string().min(1).optional().describe("file that holds the key; white space around it is ignored"),
    value: z.string().min(minFleetKeyLength).optional().describe("the key itself"),
}).refine(
    key => (key.file === undefined) !== (key.value === undefined),
    { error: "expected exactly one of file, value" },
);

/** What is logged. */
export const logging = z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info").describe("least serious level that is logged"),
});

/**
 * How long a gateway may take new work on the strength of its last word from the store.
 *
 * Gateways let go of stale configurations after this time, and the operators' server waits this long for gateways that
 * it can't reach before it says that a change is in force. A gateway that had a longer time than the server waits for
 * would still send work under the old configuration then: the value must be the same in the whole fleet.
 */
export const freshness = z.strictObject({
    maximumAgeMs: milliseconds.min(1_000).max(60_000).default(5_000)
        .describe("time without word from the store after which peers must vouch; the same in the whole fleet"),
});
