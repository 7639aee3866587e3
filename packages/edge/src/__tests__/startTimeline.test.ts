import { type LogFields } from "@galenaglade/telemetry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EdgeLog } from "../telemetry/edgeLog.js";
import { StartTimeline } from "../telemetry/startTimeline.js";

// After an outage of all hosts, the line shows where the first callers' time went. If it were logged for each request,
// or with the times of later probes and sends, it would describe the load instead of the start.
test("a start is logged once, with the first time of each phase that was reached", () => {
    const lines: (readonly [string, LogFields | undefined])[] = [];
    const write = (message: string, fields?: LogFields): void => {
        lines.push([message, fields]);
    };
    const log = new EdgeLog({ error: write, warn: write, info: write, debug: write }, () => 0);
    let sinceStartMs = 200;
    const timeline = new StartTimeline(log, () => ({ uptimeMs: sinceStartMs, cpuMs: sinceStartMs / 2 }));
    timeline.record("programLoaded");
    sinceStartMs = 300;
    timeline.record("firstProbe");
    sinceStartMs = 400;
    timeline.record("firstProbe");
    assert.deepEqual(lines, []);
    timeline.record("firstAnswer");
    timeline.record("firstSend");
    timeline.record("firstAnswer");
    assert.deepEqual(lines, [["startTimeline", {
        programLoadedMs: 200,
        programLoadedProcessorMs: 100,
        firstProbeMs: 300,
        firstProbeProcessorMs: 150,
        firstAnswerMs: 400,
        firstAnswerProcessorMs: 200,
    }]]);
});
