/**
 * Bundles the program that runs on entry hosts, including its libraries, and creates its code cache for a fast start.
 */
import { build, type BuildOptions, type Plugin } from "esbuild";
import { rmSync } from "node:fs";
import { createCodeCache } from "./createCodeCache.js";

/**
 * The parts of undici that the edge process uses. The whole package also loads fetch, cache, WebSocket and cookie
 * modules, about half of its code, which would waste memory on an entry host with 350 MB.
 */
const undiciParts = `
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
module.exports = {
    Client: require("undici/lib/dispatcher/client.js"),
    Pool: require("undici/lib/dispatcher/pool.js"),
};
`;

const takeUndiciParts: Plugin = {
    name: "undici-parts",
    setup: context => {
        context.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-parts" }));
        // The HTTP/2 client would load Node's HTTP/2 module, and the edge process doesn't use HTTP/2.
        context.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({
            contents: "module.exports = () => { throw new Error('this bundle does not support HTTP/2'); };",
        }));
        context.onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
            contents: undiciParts,
            resolveDir: process.cwd(),
        }));
    },
};

/**
 * Built-in modules that are loaded on first use. A digest is first needed when a server crashes during a request, and
 * the libraries' assertions need their module only when they fail. Loading both eagerly takes a tenth of the start time
 * beyond that of Node itself.
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
    // Prefers the libraries' ES modules: unlike CommonJS files, they can be tree-shaken.
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
