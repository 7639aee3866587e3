import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultyLinkFleet } from "./support/faultyLinkFleet.js";
import { eventually } from "./support/testEdge.js";

// Guards against a gateway that reports to the whole fleet that requests crash their servers, although only its own
// links to the servers failed.
test("connections that are reset by a link failure are not reported as server crashes", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    fleet.serve = () => undefined;
    // Under load, some requests find no server in time; six lost ones are enough for their content to be quarantined.
    const waiting = Array.from({ length: 18 }, () => fleet.send(0, "POST"));
    await eventually(
        () => fleet.backends.flatMap(({ servedRequests }) => servedRequests()).length >= 6,
        "servers have received six requests",
    );
    fleet.cut(0, "reset");
    await Promise.all(waiting);
    await sleep(1_000);
    const lost = fleet.edgeOf(0).logs.filter(line => line["message"] === "sendLost");
    assert.ok(lost.length >= 6, `${lost.length} lost`);
    assert.deepEqual(lost.filter(line => line["server"] === "ended"), []);
    assert.deepEqual(fleet.edgeOf(0).logs.filter(line => line["message"] === "contentJudged"), []);
});
