/**
 * Starts the bundled edge process from its code cache. Compiling the scripts takes about a third of a start, for which
 * all callers wait after a power outage. The cache is created at build time, by a start for this purpose only. If it is
 * missing or doesn't match the Node version or flags, the scripts are compiled as usual.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire, Module } from "node:module";
import { dirname, join } from "node:path";
import { Script } from "node:vm";
import { codeCacheSignal, codeCacheVariable } from "./constants.js";

type ModuleBody = (exports: object, require: NodeJS.Require, module: object, file: string, dir: string) => void;

const dir = dirname(process.argv[1] ?? "");
const bundlePath = join(dir, "galenaglade-edge.bundle.cjs");
const cachePath = join(dir, "galenaglade-edge.cache");

const script = new Script(Module.wrap(readFileSync(bundlePath, "utf8")), {
    filename: bundlePath,
    ...(existsSync(cachePath) ? { cachedData: readFileSync(cachePath) } : {}),
});
if (script.cachedDataRejected === true) {
    console.error(
        JSON.stringify({
            level: "warn",
            message: "code cache rejected: it was created with other flags or another Node version",
        }),
    );
}
const body = script.runInThisContext() as ModuleBody;
const module = { exports: {} };
body(module.exports, createRequire(bundlePath), module, bundlePath, dir);

if (process.env[codeCacheVariable] !== undefined) {
    process.on(codeCacheSignal, () => {
        writeFileSync(cachePath, script.createCachedData());
        process.exit(0);
    });
}
