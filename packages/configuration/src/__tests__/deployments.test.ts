import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { checkYaml, type Configuration, resolveConfiguration, resolvePatience, type Service } from "../index.js";

function load(name: string): Configuration {
    const text = readFileSync(new URL(`../../../../playground/${name}`, import.meta.url), "utf8");
    return checkYaml(text, resolveConfiguration).unsafeCoerce();
}

const lonestat = load("lonestat.yaml");
const pecanBend = load("pecanBend.yaml");

function find(cfg: Configuration, name: string): Service {
    const service = cfg.services.find(candidate => candidate.name === name);
    assert.ok(service);
    return service;
}

test("both deployments declare the expected services, zones and servers", () => {
    const sizes = (cfg: Configuration) => cfg.services.map(service => [service.name, service.backendServers.length]);
    assert.deepEqual(sizes(lonestat), [["table-reads", 12], ["return-intake", 6], ["archive-extracts", 9]]);
    assert.deepEqual(sizes(pecanBend), [["stone-catalog", 9], ["order-desk", 6], ["setting-previewer", 9]]);
    for (const cfg of [lonestat, pecanBend]) {
        assert.equal(cfg.availabilityZones.length, 3);
        for (const server of cfg.services.flatMap(service => service.backendServers)) {
            assert.deepEqual([server.slots, server.connections], [3, 200]);
        }
    }
});

test("return and order services require an idempotency key", () => {
    assert.ok(find(lonestat, "return-intake").requireIdempotencyKey);
    assert.ok(find(pecanBend, "order-desk").requireIdempotencyKey);
});

test("a researcher's extract may run all night in the configured time zone", () => {
    const extracts = find(lonestat, "archive-extracts");
    const patienceAt = (time: string) => resolvePatience(lonestat, extracts, "researcher", Date.parse(time));
    // Stockholm is an hour ahead of UTC in December.
    assert.equal(patienceAt("2026-12-03T16:59:00Z"), 900_000);
    assert.equal(patienceAt("2026-12-03T17:00:00Z"), 43_200_000);
    assert.equal(patienceAt("2026-12-04T04:59:00Z"), 43_200_000);
    assert.equal(patienceAt("2026-12-04T05:00:00Z"), 900_000);
});

test("a shopper's patience is shortest on Sunday evening", () => {
    const catalog = find(pecanBend, "stone-catalog");
    const patienceAt = (time: string) => resolvePatience(pecanBend, catalog, "shopper", Date.parse(time));
    // Chicago is six hours behind UTC in December.
    assert.equal(patienceAt("2026-12-06T22:59:00Z"), 1_500);
    assert.equal(patienceAt("2026-12-06T23:00:00Z"), 600);
    assert.equal(patienceAt("2026-12-07T05:59:00Z"), 600);
    assert.equal(patienceAt("2026-12-07T06:00:00Z"), 1_500);
    assert.equal(resolvePatience(pecanBend, catalog, "stranger", Date.parse("2026-12-06T23:00:00Z")), 3_000);
});
