import { checkPartitionedGateways } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultyLinkFleet } from "./support/faultyLinkFleet.js";
import { linkFaults } from "./support/faultyLinks.js";

/** Bounds that the users' platform requires. */
const bounds = { settleMs: 3_000, minRelativeShare: 2 / 3, allowedFailures: 10, allowedFailureShare: 1 / 50 };
const faultMs = 5_000;

// Guards against a gateway that reaches no backend server but still accepts callers, and refuses all their requests.
for (const fault of linkFaults) {
    test(`callers of gateways that are cut off from all servers are served as well as others (${fault})`, async t => {
        const fleet = await FaultyLinkFleet.start(t, 4);
        await fleet.sendFor(500, 10);
        fleet.cut(0, fault);
        fleet.cut(1, fault);
        await fleet.sendFor(faultMs, 10);
        assert.deepEqual(checkPartitionedGateways(fleet.history, bounds), []);
    });
}
