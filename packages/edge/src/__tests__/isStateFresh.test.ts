import { FleetView } from "@galenaglade/fleet-state";
import { createRandomSource } from "@galenaglade/routing";
import { createMetrics } from "@galenaglade/telemetry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreContact } from "../state/storeContact.js";
import { isStateFresh } from "../state/isStateFresh.js";
import { EdgeLog } from "../telemetry/edgeLog.js";
import { EdgeMetrics } from "../telemetry/edgeMetrics.js";

const nowMs = 10_000;

function createContact(view: FleetView): StoreContact {
    const write = (): void => undefined;
    return new StoreContact({
        view,
        clock: { monotonicMs: () => nowMs, epochMs: () => nowMs },
        random: createRandomSource(1),
        log: new EdgeLog({ debug: write, info: write, warn: write, error: write }, () => nowMs),
        metrics: new EdgeMetrics(createMetrics("test")),
    });
}

// Guards against a 404 based on a read of the store that may be older than the route.
test("contact with the store alone doesn't make the state fresh", () => {
    const view = new FleetView();
    view.markCurrentAsOf(nowMs - 2_001);
    view.onStoreContact(nowMs);
    assert.equal(isStateFresh(view, nowMs), false);
    view.markCurrentAsOf(nowMs - 2_000);
    assert.equal(isStateFresh(view, nowMs), true);
});

// Guards against a gateway that takes the age of its relay's contact with the store for the age of the relay's state.
test("a relay's state has the age that the relay reports, or an unknown age if it reports none", () => {
    const view = new FleetView();
    const contact = createContact(view);
    contact.onRelayResponse({ ageMs: 0 });
    contact.onRelayResponse({ ageMs: 0, currentAgeMs: 2_500 });
    assert.equal(isStateFresh(view, nowMs), false);
    contact.onRelayResponse({ ageMs: 0, currentAgeMs: 1_500 });
    assert.equal(isStateFresh(view, nowMs), true);
});
