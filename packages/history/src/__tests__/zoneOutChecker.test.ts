import assert from "node:assert/strict";
import { test } from "node:test";
import { checkZoneOut, type HistoryEvent, type HistoryLine } from "../index.js";

function started(availabilityZone: string): HistoryEvent {
    return {
        type: "serverStarted",
        requestId: "r",
        server: `tables-${availabilityZone}`,
        availabilityZone,
        incarnation: "1",
        cold: false,
        inFlight: 1,
        bears: 3,
    };
}

function record(events: readonly (readonly [number, HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], i) => ({ ...event, sequence: i + 1, atMs, process: "p" }));
}

test("reports only requests in a zone that was taken out longer ago than the grace period", () => {
    const history = record([
        [0, started("north")],
        [100, { type: "zoneOutAccepted", availabilityZone: "north" }],
        [150, started("north")],
        [900, started("south")],
        [1_200, started("north")],
        [1_300, { type: "zoneInRequested", availabilityZone: "north" }],
        [1_400, started("north")],
    ]);
    assert.deepEqual(checkZoneOut(history, 1_000).map(violation => violation.lines), [[2, 5]]);
    assert.deepEqual(checkZoneOut(history, 2_000), []);
});
