import { formatFaults } from "@galenaglade/configuration";
import { type KeyValueStore } from "@galenaglade/platform";
import { createJsonLogger, createMetrics } from "@galenaglade/telemetry";
import murmurHash from "imurmurhash";
import { createWriteStream, readFileSync } from "node:fs";
import { waitAtMost } from "@galenaglade/http-parts";
import { maxLogBufferBytes, maxLogFlushMs } from "./constants.js";
import { createEdge } from "./edge.js";
import { resolveEdgeSettings, type ResolvedEdgeSettings } from "./settings.js";
import { type StateCodec } from "./stateCodec.js";
import { BoundedOutput } from "./telemetry/boundedOutput.js";
import { type EdgeMetadataCodec } from "./metadataCodec.js";

/** Platform-specific dependencies of an edge process. */
export interface EdgeProcessOptions {
    /** Path of the settings file. */
    readonly settingsPath: string;
    readonly metadataCodec: EdgeMetadataCodec;
    readonly codec: StateCodec;
    readonly createStore: (settings: ResolvedEdgeSettings) => KeyValueStore;
}

const invalidSettingsExitCode = 2;
const failureExitCode = 1;
const standardOutput = 1;

/**
 * Runs an edge process until it exits. SIGTERM and SIGINT stop it gracefully with exit code 0; SIGHUP reads the
 * settings again. With invalid settings it prints each fault with its line and exits with code 2.
 *
 * @param options - platform-specific dependencies
 */
export async function runEdge(options: EdgeProcessOptions): Promise<void> {
    const settings = loadSettings(options.settingsPath);
    if (settings === undefined) {
        process.exit(invalidSettingsExitCode);
    }
    const output = new BoundedOutput(
        createWriteStream("", { fd: standardOutput, autoClose: false }),
        maxLogBufferBytes,
    );
    const logger = createJsonLogger({
        process: settings.name,
        level: settings.logging.level,
        write: line => output.write(line),
    });
    const edge = createEdge({
        settings,
        store: options.createStore(settings),
        codec: options.codec,
        metadataCodec: options.metadataCodec,
        logger,
        metrics: createMetrics("galenaglade-edge"),
        // Differs between hosts and process starts, and avoids the start-up time of loading a crypto module.
        seed: murmurHash(`${settings.name} ${process.pid} ${process.hrtime.bigint()}`).result(),
    });
    process.on("SIGHUP", () => {
        const reloaded = loadSettings(options.settingsPath);
        // Only validates the file: addresses and names can't change in a running process.
        logger.info("reloaded", {
            valid: reloaded !== undefined,
            changed: JSON.stringify(reloaded) !== JSON.stringify(settings),
        });
    });
    stopOnSignals(async () => {
        await edge.stop();
        // Exiting discards lines that are still buffered, among them those on what the stop ended.
        await waitAtMost(output.flush(), maxLogFlushMs);
    });
    process.on("unhandledRejection", err => {
        logger.error("unexpected", { error: String(err) });
    });
    try {
        await edge.start();
    }
    catch (err) {
        logger.error("unexpected", { error: `failed to start: ${String(err)}` });
        process.exit(failureExitCode);
    }
}

function stopOnSignals(stop: () => Promise<void>): void {
    let stopping = false;
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.on(signal, () => {
            if (stopping) {
                return;
            }
            stopping = true;
            stop().then(() => process.exit(0), (err: unknown) => {
                // Without an exit, the process would be killed at the end of its grace period.
                process.stderr.write(`planned stop failed: ${String(err)}\n`);
                process.exit(failureExitCode);
            });
        });
    }
}

function loadSettings(path: string): ResolvedEdgeSettings | undefined {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (err) {
        process.stderr.write(`${path}: ${String(err)}\n`);
        return undefined;
    }
    return resolveEdgeSettings(text).caseOf<ResolvedEdgeSettings | undefined>({
        Left: faults => {
            process.stderr.write(`${formatFaults(path, faults)}\n`);
            return undefined;
        },
        Right: settings => settings,
    });
}
