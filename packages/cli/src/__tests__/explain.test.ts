import assert from "node:assert/strict";
import { test } from "node:test";
import { explainRequest, summarizeFailures } from "../explain/explainRequest.js";
import { readLog } from "../explain/logLine.js";

function render(time: number, process: string, message: string, fields: object): string {
    return JSON.stringify({ time: new Date(time).toISOString(), level: "info", process, message, ...fields });
}

const log = [
    render(1_000, "host-2", "belief", { subject: "server", name: "i-1", change: "draining" }),
    render(2_000, "host-1", "belief", { subject: "server", name: "i-1", change: "added" }),
    render(2_500, "host-1", "belief", { subject: "server", name: "i-9", change: "added" }),
    render(2_600, "host-1", "storeLost", { call: "watch", kind: "storeUnavailable" }),
    `12.5 host-1 ${
        render(3_000, "host-1", "retry", { requestId: "r1", from: "i-1", to: "i-2", after: "connectionLost" })
    }`,
    render(3_200, "host-1", "requestFailed", {
        requestId: "r1",
        kind: "connectionLost",
        detail: "connectionLost, cutShort",
    }),
    render(3_300, "host-1", "requestFailed", { requestId: "r2", kind: "overloaded", detail: "allFull" }),
    render(3_400, "host-2", "requestFailed", { requestId: "r3", kind: "overloaded", detail: "allFull" }),
    "Warning: something that is not a log line",
].join("\n");

test("explaining a request returns its lines and its host's preceding events about its servers and the store", () => {
    const { lines, unreadable } = readLog(log);
    assert.equal(unreadable, 1);
    const relevantLines = explainRequest("r1", lines).map(({ message, fields }) => [message, fields["name"]]);
    assert.deepEqual(relevantLines, [
        ["belief", "i-1"],
        ["storeLost", undefined],
        ["retry", undefined],
        ["requestFailed", undefined],
    ]);
});

test("explaining a request includes other requests with the same content id, on any host", () => {
    const renderLostSend = (requestId: string, process: string, contentId: string): string =>
        render(3_100, process, "sendLost", { requestId, contentId, from: "i-7", server: "ended" });
    const { lines } = readLog(
        [
            log,
            renderLostSend("r1", "host-1", "c1"),
            renderLostSend("r8", "host-9", "c1"),
            renderLostSend("r9", "host-9", "c2"),
        ].join("\n"),
    );
    const relevantLines = explainRequest("r1", lines).filter(({ message }) => message === "sendLost");
    assert.deepEqual(relevantLines.map(({ fields }) => fields["requestId"]), ["r1", "r8"]);
});

test("explaining a request that no log line mentions returns nothing", () => {
    assert.deepEqual(explainRequest("r7", readLog(log).lines), []);
});

test("failures are counted by cause, most frequent first, each with an example", () => {
    assert.deepEqual(summarizeFailures(readLog(log).lines), [
        { kind: "overloaded", detail: "allFull", count: 2, example: "r2" },
        { kind: "connectionLost", detail: "connectionLost, cutShort", count: 1, example: "r1" },
    ]);
});

// Guards against counting a handed-over request twice, and against omitting the lines of one of the two hosts.
test("a handed-over request is explained with the lines of both hosts, and counted once", () => {
    const { lines } = readLog([
        render(900, "host-1", "serverReach", { service: "s", from: "doubted", to: "lost" }),
        render(1_000, "host-2", "requestFailed", {
            requestId: "r1",
            kind: "overloaded",
            detail: "allFull",
            handedOverBy: "host-1",
        }),
        render(1_001, "host-1", "handedOver", { requestId: "r1", to: "host-2", end: "failed: overloaded" }),
        render(1_002, "host-1", "requestFailed", {
            requestId: "r1",
            kind: "overloaded",
            detail: "allFull",
            handedTo: "host-2",
        }),
    ].join("\n"));
    const relevantLines = explainRequest("r1", lines).map(({ process, message }) => `${process} ${message}`);
    assert.deepEqual(relevantLines, [
        "host-1 serverReach",
        "host-2 requestFailed",
        "host-1 handedOver",
        "host-1 requestFailed",
    ]);
    assert.deepEqual(summarizeFailures(lines).map(({ count }) => count), [1]);
});
