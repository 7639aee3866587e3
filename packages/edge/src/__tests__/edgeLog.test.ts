import { type LogFields, type Logger } from "@galenaglade/telemetry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Writable } from "node:stream";
import { maxLogLinesPerSecond } from "../constants.js";
import { BoundedOutput } from "../telemetry/boundedOutput.js";
import { EdgeLog } from "../telemetry/edgeLog.js";

interface Line {
    readonly message: string;
    readonly fields: LogFields | undefined;
}

function createMemoryLogger(): Logger & { readonly lines: Line[]; } {
    const lines: Line[] = [];
    const add = (message: string, fields?: LogFields): number => lines.push({ message, fields });
    return { lines, error: add, warn: add, info: add, debug: add };
}

test("a flood of one event doesn't suppress other events, and the number of dropped lines is logged", () => {
    let nowMs = 0;
    const logger = createMemoryLogger();
    const log = new EdgeLog(logger, () => nowMs);
    for (let i = 0; i < 1_000; i++) {
        log.log("info", "requestEnded", { requestId: String(i) });
    }
    log.log("warn", "requestFailed", { requestId: "failed" });
    assert.equal(logger.lines.length, maxLogLinesPerSecond + 1);
    assert.equal(logger.lines.at(-1)?.message, "requestFailed");
    nowMs = 1_000;
    log.log("info", "requestEnded", { requestId: "next" });
    assert.deepEqual(logger.lines.at(-2), {
        message: "linesLeftOut",
        fields: { event: "requestEnded", lines: 1_000 - maxLogLinesPerSecond },
    });
});

test("a reader that stalls doesn't block the process, and buffered lines stay bounded", () => {
    const resume: (() => void)[] = [];
    const written: string[] = [];
    const stuck = new Writable({
        highWaterMark: 16,
        write: (chunk: Buffer, _encoding, callback) => {
            written.push(chunk.toString());
            resume.push(callback);
        },
    });
    const output = new BoundedOutput(stuck, 1_000);
    for (let i = 0; i < 1_000; i++) {
        output.write(`line ${i}\n`);
    }
    assert.ok(stuck.writableLength < 1_100);
    while (resume.length > 0) {
        resume.shift()?.();
    }
    output.write("after\n");
    while (resume.length > 0) {
        resume.shift()?.();
    }
    assert.match(written.join(""), /log lines left out/);
    assert.match(written.join(""), /after/);
});

// A process that exits with buffered lines would lose those on the requests that its stop has ended.
test("flushing the output waits until the buffered lines are written", async () => {
    const written: string[] = [];
    const stream = new Writable({
        write: (chunk, _encoding, done) => {
            setImmediate(() => {
                written.push(String(chunk));
                done();
            });
        },
    });
    const output = new BoundedOutput(stream, 1_000);
    output.write("first\n");
    output.write("second\n");
    await output.flush();
    assert.equal(written.join(""), "first\nsecond\n");
});
