import { fromBinary, fromJson, toBinary } from "@bufbuild/protobuf";
import { checkYaml, type ConfigurationInput, resolveConfiguration, weekdays } from "@galenaglade/configuration";
import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { ConfigurationSchema, fromConfigurationMessage, toConfigurationMessage } from "../index.js";

function roundTrip(cfg: ConfigurationInput): ConfigurationInput {
    return fromConfigurationMessage(
        fromBinary(ConfigurationSchema, toBinary(ConfigurationSchema, toConfigurationMessage(cfg))),
    );
}

test("both deployments are unchanged after serialization", () => {
    for (const name of ["lonestat.yaml", "pecanBend.yaml"]) {
        const text = readFileSync(new URL(`../../../../playground/${name}`, import.meta.url), "utf8");
        const cfg = checkYaml(text, resolveConfiguration).unsafeCoerce();
        assert.deepEqual(resolveConfiguration(roundTrip(cfg)).unsafeCoerce(), cfg);
    }
});

const maybe = <T>(arbitrary: fc.Arbitrary<T>) => fc.option(arbitrary, { nil: undefined });
const count = fc.integer({ min: 1, max: 64 });
const serviceArbitrary = fc.record({
    name: fc.constant("tables"),
    authorities: fc.constant(["*"] as [string, ...string[]]),
    pathPrefix: maybe(fc.constantFrom("/", "/a")),
    nonIdempotentMethods: maybe(fc.constantFrom([], ["POST"])),
    requireIdempotencyKey: maybe(fc.boolean()),
    maximumBodyBytes: maybe(fc.constantFrom(0, 5)),
    patience: fc.record({
        callerKind: fc.constant("default"),
        weekdays: maybe(fc.subarray([...weekdays], { minLength: 1 }) as fc.Arbitrary<["mon"]>),
        from: maybe(fc.constant("07:00")),
        to: maybe(fc.constant("09:00")),
        patienceMs: count,
    }).map(rule => [rule] as [typeof rule]),
    coldStart: maybe(fc.record({ concurrency: maybe(count), answersToWarm: maybe(count), idleMs: maybe(count) })),
    loadMeasuring: maybe(fc.record({ probesPerSecond: maybe(fc.constant(0.5)), seats: maybe(count) })),
    backendServers: fc.constantFrom([], [{ name: "one", availabilityZone: "a", address: "10.0.0.1", port: 80 }]),
});
const configurationArbitrary = fc.record({
    timeZone: maybe(fc.constant("Europe/Stockholm")),
    callerKindHeader: maybe(fc.constant("x-kind")),
    availabilityZones: fc.record({
        name: fc.constant("a"),
        region: maybe(fc.constant("north")),
        state: maybe(fc.constantFrom("in", "out")),
    }).map(zone => [zone] as [typeof zone]),
    services: maybe(serviceArbitrary).map(service => service === undefined ? [] : [service]),
});

test("absent fields stay absent and declared fields are kept", () => {
    // A field without presence on the wire would be decoded as its zero value, which overrides the default: a service
    // without `nonIdempotentMethods` would treat all POST requests as idempotent.
    fc.assert(fc.property(configurationArbitrary, cfg => {
        const sent = resolveConfiguration(cfg).unsafeCoerce();
        const received = roundTrip(cfg);
        assert.deepEqual(resolveConfiguration(received).unsafeCoerce(), sent);
        assert.equal(received.availabilityZones[0]?.state, cfg.availabilityZones[0].state);
    }));
});

test("rejects a state or weekday that only a newer schema defines", () => {
    const message = fromJson(ConfigurationSchema, {
        availabilityZones: [{ name: "a", state: 9 }],
        services: [{
            name: "tables",
            authorities: ["*"],
            patience: [{ callerKind: "default", weekdays: [9], patienceMs: 1 }],
        }],
    });
    const faults = resolveConfiguration(fromConfigurationMessage(message)).swap().unsafeCoerce();
    assert.deepEqual(faults.map(fault => fault.path.join(".")), [
        "availabilityZones.0.state",
        "services.0.patience.0.weekdays.0",
    ]);
});
