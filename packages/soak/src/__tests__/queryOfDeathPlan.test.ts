import assert from "node:assert/strict";
import { test } from "node:test";
import { planQueryOfDeath } from "../queryOfDeathPlan.js";

test("some of many adjacent seeds have a query of death, and the same seed draws the same one", () => {
    const plans = Array.from({ length: 100 }, (_, seed) => planQueryOfDeath(seed + 1, "/tables/read/"));
    const planned = plans.filter(plan => plan !== undefined);
    assert.ok(planned.length > 40 && planned.length < 80, `${planned.length} of 100`);
    assert.ok(
        planned.every(({ sendTimesMs, path }) => sendTimesMs.length >= 6 && path.startsWith("/tables/read/deadly-")),
    );
    assert.deepEqual(planQueryOfDeath(3, "/tables/read/"), planQueryOfDeath(3, "/tables/read/"));
});
