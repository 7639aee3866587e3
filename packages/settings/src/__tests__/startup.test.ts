import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { maxFileBytes, resolveAdminSettings, resolveStartup } from "../index.js";

const key = "0123456789abcdef0123456789abcdef";
const directory = mkdtempSync(join(tmpdir(), "settings-"));
after(() => rmSync(directory, { recursive: true }));

function write(name: string, text: string): string {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
}

const good = write(
    "good.yaml",
    `address: 127.0.0.1\nport: 0\nplatform: { address: "http://127.0.0.1:1" }\nfleetKey: { value: ${key} }\n`,
);

const startup = (...args: readonly string[]) => resolveStartup("galenaglade-admin", args, resolveAdminSettings);

test("runs with valid settings", () => {
    assert.equal(startup("--settings", good).type, "run");
});

test("prints the resolved settings without the fleet's key and exits with 0", () => {
    const result = startup("--settings", good, "--print-settings");
    assert.ok(result.type === "exit");
    assert.equal(result.code, 0);
    assert.match(result.output, /^acceptWaitMs: 10000$/m);
    assert.match(result.output, /^fleetKey: "\[hidden\]"$/m);
    assert.ok(!result.output.includes(key));
});

test("exits with 2 and reports all faults of an invalid file", () => {
    const path = write("faulty.yaml", "address: here\nport: 99999\ncolour: red\n");
    const result = startup("--settings", path);
    assert.ok(result.type === "exit");
    assert.equal(result.code, 2);
    const lines = result.output.split("\n").map(line => line.slice(path.length));
    assert.deepEqual(lines.map(line => line.split(" ", 2).join(" ")), [
        ":1:1: address:",
        ":1:1: platform:",
        ":1:1: fleetKey:",
        ":2:1: port:",
        ":3:1: colour:",
    ]);
});

test("exits with 2 if the file or an option is unknown or missing", () => {
    for (const args of [[], ["--settings", join(directory, "none.yaml")], ["--colour"], ["stray"]]) {
        const result = startup(...args);
        assert.ok(result.type === "exit", args.join(" "));
        assert.equal(result.code, 2);
    }
});

test("rejects a file that is too large without reading it", () => {
    const result = startup("--settings", write("large.yaml", "#".repeat(maxFileBytes + 1)));
    assert.ok(result.type === "exit");
    assert.match(result.output, /8388609 bytes/);
});
