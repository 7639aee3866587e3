import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "@galenaglade/routing";
import { chooseProbeCount, GoodChanceEstimator, StatusCache, type ServerStatus } from "../index.js";

function createStatus(serverId: string, slowdown = 1): ServerStatus {
    return {
        serverId,
        availabilityZone: "north",
        load: { running: 0, waiting: 0, slots: 3, slowdown },
        slots: 3,
        healthy: true,
        coldRemainingMs: 0,
    };
}

test("one probe is enough if a server is almost certainly good, and at most four are sent", () => {
    assert.equal(chooseProbeCount([0.95, 0.75, 0.75]), 1);
    assert.equal(chooseProbeCount([0.75, 0.75, 0.75, 0.75]), 2);
    assert.equal(chooseProbeCount([0.3, 0.3, 0.3, 0.3, 0.3, 0.3]), 4);
    assert.equal(chooseProbeCount([0.2]), 1);
    assert.equal(chooseProbeCount([]), 0);
});

test("an older status that arrives late doesn't replace a newer one, and removed servers are dropped", () => {
    const cache = new StatusCache();
    cache.onStatus(createStatus("a", 1), true, 100, true);
    cache.onStatus(createStatus("a", 4), false, 60, true);
    assert.equal(cache.get("a")?.status.load?.slowdown, 1);
    cache.retain(new Set(["b"]));
    assert.equal(cache.get("a"), undefined);
});

// Guards against a fixed validity of observations: where load changes every 20 ms, an older observation is worthless,
// and where it changes over seconds, it stays reliable. The estimator has to learn both without a setting.
test("the validity time of an observation is learned, for fast and for slow load changes", () => {
    const chanceAfter = (noiseMs: number, ageMs: number): number => {
        const random = createRandomSource(3);
        const estimator = new GoodChanceEstimator();
        for (let i = 0; i < 4_000; i++) {
            const seenAgeMs = random.next() * 400;
            const wasGood = random.next() < 0.7;
            const changed = random.next() > Math.exp(-seenAgeMs / noiseMs);
            const isGood = changed ? random.next() < 0.7 : wasGood;
            estimator.onObservation(isGood, { wasGood, ageMs: seenAgeMs });
        }
        return estimator.goodChanceOf({ wasGood: true, ageMs });
    };
    assert.ok(chanceAfter(20, 200) < 0.8, `${chanceAfter(20, 200)} for fast noise`);
    assert.ok(chanceAfter(5_000, 200) > 0.9, `${chanceAfter(5_000, 200)} for slow noise`);
});

test("before anything was learned, a fresh observation is nearly certain and an old one carries no information", () => {
    const estimator = new GoodChanceEstimator();
    assert.ok(estimator.goodChanceOf({ wasGood: true, ageMs: 5 }) > 0.9);
    assert.ok(estimator.goodChanceOf({ wasGood: false, ageMs: 5 }) < 0.2);
    assert.ok(
        Math.abs(estimator.goodChanceOf({ wasGood: true, ageMs: 60_000 }) - estimator.goodChanceOf(undefined)) < 0.15,
    );
});
