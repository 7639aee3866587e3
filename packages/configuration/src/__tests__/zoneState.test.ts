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

test("takes one zone out and back in without changing anything else", () => {
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    assert.deepEqual(statesOf(out), ["out", "in"]);
    assert.deepEqual(out.services, cfg.services);
    assert.deepEqual(setZoneState(out, "a", "in").unsafeCoerce(), cfg);
});

test("returns the same configuration if the state is unchanged", () => {
    assert.equal(setZoneState(cfg, "a", "in").unsafeCoerce(), cfg);
});

test("lists the declared zones in the error for an undeclared one", () => {
    const failure = setZoneState(cfg, "c", "out").swap().unsafeCoerce();
    assert.equal(failure.kind, "notFound");
    assert.match(failure.detail, /declared: a, b/);
});

test("a configuration without zone states keeps a zone out of service", () => {
    // Operators take a zone out by call; later, a configuration file without zone states is applied. With the schema's
    // default, the zone would silently get new work again.
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    const applied = resolveConfiguration(keepZoneStates(declared, out)).unsafeCoerce();
    assert.deepEqual(statesOf(applied), ["out", "in"]);
});

test("a declared zone state takes precedence, and a new zone gets the default", () => {
    const out = setZoneState(cfg, "a", "out").unsafeCoerce();
    const written = { ...declared, availabilityZones: [{ name: "a", state: "in" as const }, { name: "c" }] };
    assert.deepEqual(keepZoneStates(written, out).availabilityZones.map(zone => zone.state), ["in", undefined]);
    assert.deepEqual(keepZoneStates(declared, undefined).availabilityZones.map(zone => zone.state), [
        undefined,
        undefined,
    ]);
});

test("finds services whose servers are all in zones out of service", () => {
    assert.deepEqual(findUnservedServices(cfg), []);
    assert.deepEqual(findUnservedServices(setZoneState(cfg, "b", "out").unsafeCoerce()), []);
    assert.deepEqual(findUnservedServices(setZoneState(cfg, "a", "out").unsafeCoerce()), ["tables"]);
});
