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

// Guards against a 404 that rests on a reading which may be older than the route.
test("a cheap reading doesn't show that a route is absent", () => {
    const view = new FleetView();
    view.markCurrentAsOf(nowMs - 2_001);
    view.onStoreContact(nowMs);
    assert.equal(isStateFresh(view, nowMs), false);
    view.markCurrentAsOf(nowMs - 2_000);
    assert.equal(isStateFresh(view, nowMs), true);
});

// Guards against a gateway that takes its relay's contact for the age of the relay's state.
test("a relay's state is as old as the relay says, and of unknown age where it says nothing", () => {
    const view = new FleetView();
    const contact = createContact(view);
    contact.onRelayResponse({ ageMs: 0 });
    contact.onRelayResponse({ ageMs: 0, currentAgeMs: 2_500 });
    assert.equal(isStateFresh(view, nowMs), false);
    contact.onRelayResponse({ ageMs: 0, currentAgeMs: 1_500 });
    assert.equal(isStateFresh(view, nowMs), true);
});
