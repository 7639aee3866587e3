import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type Configuration,
    type ConfigurationInput,
    findUnservedServices,
    keepZoneStates,
    resolveConfiguration,
    setZoneState,
} from "../index.js";

const declared: ConfigurationInput = {
    availabilityZones: [{ name: "a" }, { name: "b" }],
    services: [{
        name: "tables",
        authorities: ["*"],
        patience: [{ callerKind: "default", patienceMs: 1_000 }],
        backendServers: [{ name: "one", availabilityZone: "a", address: "10.0.0.1", port: 80 }],
    }],
};
const cfg: Configuration = resolveConfiguration(declared).unsafeCoerce();

const statesOf = (of: Configuration) => of.availabilityZones.map(zone => zone.state);

test("takes one zone out and brings it back, and changes nothing else", () => {
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    assert.deepEqual(statesOf(out), ["out", "in"]);
    assert.deepEqual(out.services, cfg.services);
    assert.deepEqual(setZoneState(out, "a", "in").unsafeCoerce(), cfg);
});

test("gives the same configuration where there is nothing to change", () => {
    assert.equal(setZoneState(cfg, "a", "in").unsafeCoerce(), cfg);
});

test("names the declared zones where one isn't", () => {
    const failure = setZoneState(cfg, "c", "out").swap().unsafeCoerce();
    assert.equal(failure.kind, "notFound");
    assert.match(failure.detail, /declared: a, b/);
});

test("a file that says no state leaves a zone out that was taken out", () => {
    // Operators take zone a out by call; an hour later a colleague applies the file from their repository, which
    // says nothing of states. Read with the schema's default, a would silently get new work again.
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    const applied = resolveConfiguration(keepZoneStates(declared, out)).unsafeCoerce();
    assert.deepEqual(statesOf(applied), ["out", "in"]);
});

test("a state that is written goes, and a new zone starts in", () => {
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    const written = { ...declared, availabilityZones: [{ name: "a", state: "in" as const }, { name: "c" }] };
    assert.deepEqual(keepZoneStates(written, out).availabilityZones.map(zone => zone.state), ["in", undefined]);
    assert.deepEqual(keepZoneStates(declared, undefined).availabilityZones.map(zone => zone.state), [
        undefined,
        undefined,
    ]);
});

test("names the services whose servers all stand in zones that are out", () => {
    assert.deepEqual(findUnservedServices(cfg), []);
    assert.deepEqual(findUnservedServices(setZoneState(cfg, "b", "out").unsafeCoerce()), []);
    assert.deepEqual(findUnservedServices(setZoneState(cfg, "a", "out").unsafeCoerce()), ["tables"]);
});
