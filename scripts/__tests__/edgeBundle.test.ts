import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { codeCacheFlags } from "../edgeBundle/constants.js";

// A code cache that was created with other flags is rejected without an error, and each start takes a third longer.
test("the deploy file runs the program with the flags of its code cache", () => {
    const deploy = readFileSync(new URL("../../deploy/system.toml", import.meta.url), "utf8");
    const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
    assert.equal(run, `node ${codeCacheFlags.join(" ")} target/galenaglade-edge.cjs`);
});

const root = new URL("../../", import.meta.url);

/** @returns the names that a folder's modules import from undici, without types */
function findUndiciImports(folder: string): readonly string[] {
    const names = new Set<string>();
    for (const entry of readdirSync(new URL(folder, root), { recursive: true, encoding: "utf8" })) {
        if (!entry.endsWith(".ts") || /__tests__|standIns/.test(entry)) {
            continue;
        }
        const source = readFileSync(new URL(`${folder}/${entry}`, root), "utf8");
        const [, imported = ""] = /import \{([^}]*)\} from "undici"/.exec(source) ?? [];
        for (const name of imported.split(",").map(each => each.trim())) {
            if (name !== "" && !name.startsWith("type ")) {
                names.add(name);
            }
        }
    }
    return [...names];
}

// Guards against a process that ends when it first uses a part of undici that its bundle doesn't have: the bundler
// reports no missing export of a CommonJS module.
test("the bundle has every part of undici that the program imports", () => {
    const build = readFileSync(new URL("scripts/edgeBundle/build.ts", root), "utf8");
    for (const folder of ["packages/edge/src", "packages/httpParts/src", "platform/src"]) {
        for (const name of findUndiciImports(folder)) {
            assert.match(build, new RegExp(`^    ${name}: require\\("undici/`, "m"), `${name}, imported in ${folder}`);
        }
    }
});
