import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPartitionedGateways, type HistoryEvent, type HistoryLine } from "../index.js";

const bounds = { settleMs: 3_000, minRelativeShare: 2 / 3, allowedFailures: 10, allowedFailureShare: 1 / 50 };

/** Records a request every 10 ms through a gateway that is partitioned from time 0 on, and through one that isn't. */
function record(servedWhilePartitioned: (atMs: number) => boolean, untilMs = 6_000): readonly HistoryLine[] {
    const lines: HistoryLine[] = [];
    const add = (atMs: number, event: HistoryEvent): void => {
        lines.push({ ...event, atMs, sequence: lines.length, process: "" });
    };
    add(0, { type: "gatewayCutFromServers", gateway: "cut" });
    for (let atMs = 0; atMs < untilMs; atMs += 10) {
        for (const gateway of ["cut", "other"]) {
            const requestId = `${gateway}-${atMs}`;
            const isServed = gateway === "other" || servedWhilePartitioned(atMs);
            add(atMs, {
                type: "callerSent",
                requestId,
                service: "tables",
                idempotent: true,
                gateway,
                patienceMs: 1_000,
            });
            const more = { didRun: undefined, whole: true, bodyRequestId: requestId };
            add(atMs, { type: "callerAnswered", requestId, status: isServed ? 200 : 503, ...more });
        }
    }
    return lines;
}

// Guards against a checker that reports nothing, or that reports losses within the bounds.
test("callers of a partitioned gateway must be served about as well as others once the settling time is over", () => {
    assert.equal(checkPartitionedGateways(record(() => false), bounds).length, 1);
    assert.deepEqual(checkPartitionedGateways(record(() => true), bounds), []);
    assert.deepEqual(checkPartitionedGateways(record(atMs => atMs >= 3_000), bounds), []);
    assert.equal(checkPartitionedGateways(record(atMs => atMs % 20 === 0), bounds).length, 1);
    assert.deepEqual(
        checkPartitionedGateways(record(atMs => atMs % 50 !== 0), bounds),
        [],
        "a fifth fails, so the relative success rate of 4/5 is above the bound of 2/3",
    );
    assert.deepEqual(
        checkPartitionedGateways(record(() => false, 3_100), bounds),
        [],
        "the partition is too short for more failures than always allowed",
    );
});
