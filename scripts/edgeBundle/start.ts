/**
 * Starts the bundled edge process from compiled code. Compiling its scripts takes about a third of a start, and after a
 * power cut every caller waits for that; compiled code is made once, at build time, from a start that is then thrown
 * away. Without it, or where it doesn't fit this node, the scripts are compiled as usual.
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
        JSON.stringify({ level: "warn", message: "the compiled code was made with other flags or another node" }),
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
