import { formatFaults } from "@galenaglade/configuration";
import assert from "node:assert/strict";
import { test } from "node:test";
import { resolveEdgeSettings } from "../index.js";

const valid = `name: entry-1
availabilityZone: north
listen:
    callers: 10.0.0.4:8080
    readiness: 10.0.0.4:8081
    metrics: 10.0.0.4:9100
store: { address: 10.0.0.2:8541 }
stopping: { graceSeconds: 6 }
repeats: { ratio: 0.2, slack: 58, windowSeconds: 10 }
`;

function findFaults(text: string): string {
    return resolveEdgeSettings(text).caseOf({
        Left: faults => formatFaults("edge.yaml", faults),
        Right: () => "",
    });
}

test("settings are resolved with their defaults, and frozen", () => {
    const settings = resolveEdgeSettings(valid).unsafeCoerce();
    assert.equal(settings.asking.perServerAndSecond, 30);
    assert.ok(Object.isFrozen(settings));
});

test("unknown fields are ignored", () => {
    assert.equal(findFaults(`${valid}later: { some: thing }\n`), "");
});

test("all faults are reported, each with its line", () => {
    const faults = findFaults(
        valid.replace("10.0.0.4:8081", "somewhere").replace("graceSeconds: 6", "graceSeconds: -1"),
    );
    assert.match(faults, /edge\.yaml:5:.*listen\.readiness/);
    assert.match(faults, /edge\.yaml:8:.*stopping\.graceSeconds/);
});

test("a missing field is reported", () => {
    assert.match(findFaults(valid.replace("availabilityZone: north\n", "")), /availabilityZone/);
    assert.match(findFaults(""), /edge\.yaml/);
});

test("invalid YAML is rejected", () => {
    assert.notEqual(findFaults("name: [entry"), "");
});
