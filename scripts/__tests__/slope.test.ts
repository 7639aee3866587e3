import assert from "node:assert/strict";
import { test } from "node:test";
import { generateConfiguration } from "../capacity/generateConfiguration.js";
import { fitSlope } from "../capacity/slope.js";

test("the slope is that of the median round, with the range over the rounds", () => {
    const round = (perUnit: number): { size: number; value: number; }[] =>
        [1, 2, 3, 4].map(size => ({ size, value: 10 + perUnit * size }));
    const slope = fitSlope([round(3), round(1), round(2)]);
    assert.deepEqual(slope.perUnit, { minimum: 1, median: 2, maximum: 3 });
    assert.ok(Math.abs(slope.fixed - 10) < 1e-9);
});

test("a generated configuration has the requested number of targets", () => {
    const cfg = generateConfiguration(840);
    assert.equal(cfg.services.length, 45);
    let servers = 0;
    for (const service of cfg.services) {
        servers += service.backendServers.length;
    }
    assert.equal(servers, 840);
});
