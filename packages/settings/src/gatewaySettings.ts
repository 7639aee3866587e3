import { type LocatedFault } from "@galenaglade/configuration";
import { type Either } from "purify-ts";
import * as z from "zod";
import { type ReadText, readTextFile, type ResolvedSettings, resolveSettings } from "./resolveSettings.js";
import {
    fleetKey,
    freshness,
    ipAddress,
    logging,
    milliseconds,
    millisecondsOrZero,
    name,
    platform,
    port,
} from "./sharedSchemas.js";

const peerAddress = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "expected an IP number and a port such as 10.0.0.4:7400 or [fd00::4]:7400",
);

const callers = z.strictObject({
    address: ipAddress.describe("IP number on which callers' requests are taken"),
    port: port.describe("port on which callers' requests are taken"),
    maximumConnections: z.number().int().min(1).max(1_000_000).default(10_000)
        .describe("callers' connections held at once; more are refused"),
    maximumHeaderBytes: z.number().int().min(1_024).max(1_048_576).default(16_384)
        .describe("size of a request's headers; larger ones are refused with 431"),
    requestTimeoutMs: milliseconds.default(30_000)
        .describe("time in which a caller must have sent its whole request; slower ones are refused with 408"),
});

const peers = z.strictObject({
    address: ipAddress.refine(address => address !== "0.0.0.0" && address !== "::", {
        error: "expected the IP number at which peers reach this host, not a wildcard",
    }).describe("IP number at which the other gateways reach this one"),
    port: port.describe("port for the other gateways"),
    seeds: z.array(peerAddress).default([])
        .describe("peers to ask for the configuration when the store is out of reach at the start"),
});

const operations = z.strictObject({
    address: ipAddress.default("127.0.0.1").describe("IP number for readiness, liveness and metrics"),
    port: port.describe("port for readiness, liveness and metrics"),
});

const stopping = z.strictObject({
    balancerWaitMs: millisecondsOrZero.default(5_000)
        .describe("time for the platform's balancer to see that this host is not ready"),
    // A planned stop ends as soon as no request is in flight. This limit only keeps a stuck request from delaying the
    // stop forever; a shorter default would abort an extract that runs all night.
    drainMs: milliseconds.default(86_400_000)
        .describe("longest time for the requests in flight to finish, after the wait for the balancer"),
});

const coldStart = z.strictObject({
    enforced: z.boolean().default(false)
        .describe("whether cold backend servers are warmed up under permits; the same in the whole fleet"),
});

/** Schema of a gateway's settings file. */
export const gatewaySettingsSchema = z.strictObject({
    name: name.describe("name of this host, as the platform's host list has it"),
    availabilityZone: name.describe("availability zone in which this host stands"),
    callers,
    peers,
    operations,
    platform,
    fleetKey,
    stopping: stopping.prefault({}),
    freshness: freshness.prefault({}),
    coldStart: coldStart.prefault({}),
    logging: logging.prefault({}),
});

/** Settings of a gateway with all defaults filled in and the fleet's key loaded. */
export type ResolvedGatewaySettings = ResolvedSettings<typeof gatewaySettingsSchema>;

/**
 * Validates the settings of a gateway and fills in all defaults.
 *
 * @param text - settings as YAML
 * @param readText - reads the fleet key file
 * @returns all faults at once, or the frozen settings
 */
export function resolveGatewaySettings(
    text: string,
    readText: ReadText = readTextFile,
): Either<readonly LocatedFault[], ResolvedGatewaySettings> {
    return resolveSettings(text, gatewaySettingsSchema, readText);
}
