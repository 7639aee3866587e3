import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { codeCacheFlags } from "../edgeBundle/constants.js";

// A code cache that was created with other flags is rejected without an error, and each start takes a third longer.
test("the deploy file runs the program with the flags of its code cache", () => {
    const deploy = readFileSync(new URL("../../deploy/system.toml", import.meta.url), "utf8");
    const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
    assert.equal(run, `node ${codeCacheFlags.join(" ")} target/galenaglade-edge.cjs`);
});
