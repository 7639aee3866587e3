import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultyLinkFleet } from "./support/faultyLinkFleet.js";
import { eventually } from "./support/testEdge.js";

// Guards against a report to the whole fleet that requests end their servers, by a gateway that merely can't reach these.
test("a gateway whose links are reset reports no crash of a server", async t => {
    const fleet = await FaultyLinkFleet.start(t, 3);
    fleet.serve = () => undefined;
    // Beside load some find no server in time; six are enough to have their content kept from all servers.
    const waiting = Array.from({ length: 18 }, () => fleet.send(0, "POST"));
    await eventually(
        () => fleet.backends.flatMap(({ servedRequests }) => servedRequests()).length >= 6,
        "servers have six of them",
    );
    fleet.cut(0, "reset");
    await Promise.all(waiting);
    await sleep(1_000);
    const lost = fleet.edgeOf(0).logs.filter(line => line["message"] === "sendLost");
    assert.ok(lost.length >= 6, `${lost.length} lost`);
    assert.deepEqual(lost.filter(line => line["server"] === "ended"), []);
    assert.deepEqual(fleet.edgeOf(0).logs.filter(line => line["message"] === "contentJudged"), []);
});
