/** Bundles the program that runs on entry hosts into one file, libraries included, so that it starts quickly. */
import { build } from "esbuild";

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

await build({
    entryPoints: ["platform/src/cli.ts"],
    outfile: "target/galenaglade-edge.cjs",
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
    plugins: [{
        name: "undici-parts",
        setup: context => {
            context.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-parts" }));
            context.onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
                contents: undiciParts,
                resolveDir: process.cwd(),
            }));
        },
    }],
});
