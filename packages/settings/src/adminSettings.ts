import { type LocatedFault } from "@galenaglade/configuration";
import { type Either } from "purify-ts";
import * as z from "zod";
import { type ReadText, readTextFile, type ResolvedSettings, resolveSettings } from "./resolveSettings.js";
import { fleetKey, freshness, ipAddress, logging, milliseconds, platform, port } from "./sharedSchemas.js";

/** Schema of the operators' server's settings file. */
export const adminSettingsSchema = z.strictObject({
    address: ipAddress.describe("IP number on which operators' calls are taken"),
    port: port.describe("port on which operators' calls are taken"),
    platform,
    fleetKey,
    acceptWaitMs: milliseconds.max(60_000).default(10_000)
        .describe("how long a call that changes the configuration waits until the change is in force"),
    maximumMessageBytes: z.number().int().min(1_024).max(16_777_216).default(4_194_304)
        .describe("size of one call's message; larger ones are refused"),
    maximumConnections: z.number().int().min(1).max(10_000).default(100)
        .describe("operators' connections held at once; more are closed"),
    maximumWatches: z.number().int().min(1).max(10_000).default(32)
        .describe("WatchChanges calls at once; more are refused"),
    stopping: z.strictObject({
        drainMs: milliseconds.default(70_000)
            .describe("longest time for the calls in flight to finish; a change may take all of acceptWaitMs"),
    }).prefault({}),
    freshness: freshness.prefault({}),
    logging: logging.prefault({}),
}).refine(settings => settings.stopping.drainMs >= settings.acceptWaitMs, {
    // A shorter drain time would abort a call that is still waiting for its change to be in force, and the operator
    // would not learn its outcome.
    error: "expected at least acceptWaitMs",
    path: ["stopping", "drainMs"],
});

/** Settings of the operators' server with all defaults filled in and the fleet's key loaded. */
export type ResolvedAdminSettings = ResolvedSettings<typeof adminSettingsSchema>;

/**
 * Validates the settings of the operators' server and fills in all defaults.
 *
 * @param text - settings as YAML
 * @param readText - reads the fleet key file
 * @returns all faults at once, or the frozen settings
 */
export function resolveAdminSettings(
    text: string,
    readText: ReadText = readTextFile,
): Either<readonly LocatedFault[], ResolvedAdminSettings> {
    return resolveSettings(text, adminSettingsSchema, readText);
}
