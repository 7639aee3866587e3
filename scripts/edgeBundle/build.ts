/** Bundles the program that runs on entry hosts, libraries included, and compiles it, so that it starts quickly. */
import { build, type BuildOptions, type Plugin } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { compiledFlags, recordedSettings, recordMs } from "./constants.js";

/**
 * The parts of undici that the edge process uses. The whole package also loads its fetch, cache, WebSocket and cookie
 * modules, about half of its code, which an entry host of 350 MB would hold in memory for nothing.
 */
const undiciParts = `
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
module.exports = {
    Client: require("undici/lib/dispatcher/client.js"),
    Pool: require("undici/lib/dispatcher/pool.js"),
    buildConnector: require("undici/lib/core/connect.js"),
};
`;

const takeUndiciParts: Plugin = {
    name: "undici-parts",
    setup: context => {
        context.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-parts" }));
        // Node's own HTTP/2 is loaded with it, and nothing here speaks it.
        context.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({
            contents: "module.exports = () => { throw new Error('HTTP/2 is not part of this bundle'); };",
        }));
        context.onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
            contents: undiciParts,
            resolveDir: process.cwd(),
        }));
    },
};

const common: BuildOptions = {
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    // The libraries' ES modules can be cut down to what is used; their CommonJS files come whole.
    mainFields: ["module", "main"],
    minify: true,
    keepNames: true,
    legalComments: "none",
    logLevel: "warning",
};

await build({
    ...common,
    entryPoints: ["platform/src/cli.ts"],
    outfile: "target/galenaglade-edge.bundle.cjs",
    plugins: [takeUndiciParts],
});
await build({ ...common, entryPoints: ["scripts/edgeBundle/start.ts"], outfile: "target/galenaglade-edge.cjs" });
recordCompiledCode();

/** Starts the program once, without anything to talk to, and keeps what was compiled for that. */
function recordCompiledCode(): void {
    const dir = mkdtempSync(join(tmpdir(), "galenaglade-build-"));
    const settingsPath = join(dir, "settings.yaml");
    writeFileSync(settingsPath, recordedSettings);
    rmSync("target/galenaglade-edge.cache", { force: true });
    const run = spawnSync(process.execPath, [...compiledFlags, "target/galenaglade-edge.cjs"], {
        env: { ...process.env, GALENAGLADE_SETTINGS: settingsPath, GALENAGLADE_RECORD_MS: String(recordMs) },
        stdio: ["ignore", "ignore", "inherit"],
    });
    rmSync(dir, { recursive: true });
    if (run.status !== 0) {
        throw new Error(`the bundled program can't start: exit code ${run.status}`);
    }
}
