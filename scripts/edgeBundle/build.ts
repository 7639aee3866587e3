/** Bundles the program that runs on entry hosts, libraries included, and compiles it, so that it starts quickly. */
import { build, type BuildOptions, type Plugin } from "esbuild";
import { rmSync } from "node:fs";
import { createCodeCache } from "./createCodeCache.js";

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

/**
 * Node's own modules that are loaded when they are first used: the first request under which a server ends needs a digest, and
 * libraries' assertions need their module only to fail. Loading both takes a tenth of what a start takes beyond node's own.
 */
const lazyModules: Readonly<Record<string, string>> = {
    "node:crypto": `
module.exports = { createHash: (...args) => require("node:crypto").createHash(...args) };
`,
    "node:assert": `
const load = () => require("node:assert");
const assert = (value, message) => {
    if (!value) {
        load()(value, message);
    }
};
for (const name of ["ok", "equal", "notEqual", "strictEqual", "notStrictEqual", "deepStrictEqual"]) {
    assert[name] = (...args) => load()[name](...args);
}
module.exports = assert;
`,
};

const loadLazily: Plugin = {
    name: "lazy-modules",
    setup: context => {
        context.onResolve(
            { filter: /^node:(crypto|assert)$/ },
            ({ path, namespace }) =>
                namespace === "lazy-modules" ? { path, external: true } : { path, namespace: "lazy-modules" },
        );
        context.onLoad(
            { filter: /.*/, namespace: "lazy-modules" },
            ({ path }) => ({ contents: lazyModules[path] ?? "" }),
        );
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
    plugins: [takeUndiciParts, loadLazily],
});
await build({ ...common, entryPoints: ["scripts/edgeBundle/start.ts"], outfile: "target/galenaglade-edge.cjs" });
rmSync("target/galenaglade-edge.cache", { force: true });
await createCodeCache("target/galenaglade-edge.cjs");
