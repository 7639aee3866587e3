import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { startProcess } from "../processes/startProcess.js";
import { mergeHistories } from "../recording/historyRecorder.js";

const script = fileURLToPath(new URL("../backendServer/cli.ts", import.meta.url));

test("a program starts, reports its URL, and exits with code 0 on graceful shutdown", async () => {
    const directory = mkdtempSync(join(tmpdir(), "galenaglade-"));
    const history = join(directory, "history.jsonl");
    try {
        const server = await startProcess({ name: "s1", script, args: ["--name", "s1", "--history", history] });
        const res = await request(`${server.url}/`, { headers: { "x-request-id": "r1" } });
        assert.equal(res.statusCode, 200);
        await res.body.dump();
        assert.deepEqual(await server.stop(), { code: 0, signal: undefined });
        const types = mergeHistories([history]).map(line => line.type);
        assert.deepEqual(types, ["serverStarted", "serverEnded", "serverLeaving"]);
    }
    finally {
        rmSync(directory, { recursive: true });
    }
});

test("a paused program responds after it is resumed", async () => {
    const server = await startProcess({ name: "s1", script });
    try {
        server.pause();
        let answered = false;
        const response = request(`${server.url}/load`).then(async res => {
            answered = true;
            await res.body.dump();
        });
        await new Promise(resolve => setTimeout(resolve, 100));
        assert.equal(answered, false);
        server.resume();
        await response;
    }
    finally {
        server.kill();
        assert.equal((await server.exited).signal, "SIGKILL");
    }
});

test("a program that exits before it is ready is reported with its output", async () => {
    await assert.rejects(startProcess({ name: "s1", script, args: ["--no-such-option"] }), /no-such-option/);
});
