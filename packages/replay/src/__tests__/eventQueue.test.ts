import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventQueue } from "../index.js";

test("events run in order of time, and events at the same time in the order in which they were added", () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 20 }), { maxLength: 60 }), delays => {
        const events = new EventQueue();
        const seen: (readonly [number, number])[] = [];
        for (const [i, delay] of delays.entries()) {
            events.schedule(delay, () => seen.push([events.nowMs, i]));
        }
        events.runUntil(100, 1_000);
        const expected = delays.map((delay, i) => [delay, i] as const).sort(([a, i], [b, j]) => a - b || i - j);
        assert.deepEqual(seen, expected);
    }));
});

// A replay whose placement decisions probed without end kept running for minutes instead of failing.
test("an event that schedules itself without end fails with its time", () => {
    const events = new EventQueue();
    const again = (): void => events.schedule(0, again);
    events.schedule(5, again);
    assert.throws(() => events.runUntil(10, 1_000), /more than 1000 events by 5 ms/);
});
