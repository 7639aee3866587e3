import assert from "node:assert/strict";
import { test } from "node:test";
import { checkYaml, formatFaults, resolveConfiguration } from "../index.js";

const yaml = `availabilityZones:
    - name: a
    - name: b
services:
    - name: tables
      authorities: [tables.example]
      patience:
          - { callerKind: default, patienceMs: 1000 }
      backendServers:
          - { name: one, availabilityZone: a, address: 10.0.0.1, port: 80 }
          - { name: two, availabilityZone: b, address: 10.0.0.2, port: 80 }
`;

function check(text: string): readonly string[] {
    const faults = checkYaml(text, resolveConfiguration).swap().unsafeCoerce();
    return formatFaults("x.yaml", faults).split("\n");
}

test("accepts a whole configuration and freezes it", () => {
    const cfg = checkYaml(yaml, resolveConfiguration).unsafeCoerce();
    assert.equal(cfg.services[0]?.coldStart.concurrency, 1);
    assert.ok(Object.isFrozen(cfg.services[0].backendServers[0]));
});

test("names wrong shapes and wrong references in one run", () => {
    // An operator applies a file in which a port is out of range, a key is misspelt and a server stands in a zone
    // that is not declared. The shape is checked by the schema and references by a second pass; were that pass left
    // out while the shape is wrong, the third fault would only show after the first two were mended.
    const text = yaml
        .replace("10.0.0.1, port: 80", "10.0.0.1, port: 70000")
        .replace("availabilityZone: b", "availabilityZone: c, slot: 3");
    assert.deepEqual(check(text), [
        "x.yaml:10:66: services[0].backendServers[0].port: Too big: expected number to be <=65535",
        "x.yaml:11:26: services[0].backendServers[1].availabilityZone: availability zone c is not declared; "
        + "declared: a, b",
        "x.yaml:11:47: services[0].backendServers[1].slot: unknown key; accepted keys: name, availabilityZone, "
        + "address, port, slots, connections",
    ]);
});

test("names everything that is declared twice", () => {
    const second = yaml.slice(yaml.indexOf("    - name: tables"));
    const found = check(yaml.replace("- name: b", "- name: a").replace("name: two", "name: one") + second);
    assert.deepEqual(found.map(line => line.slice(line.indexOf(" ") + 1)), [
        "availabilityZones[1].name: availability zone a is declared twice",
        "services[0].backendServers[1].name: backend server one is declared twice",
        "services[0].backendServers[1].availabilityZone: availability zone b is not declared; declared: a",
        "services[1].name: service tables is declared twice",
        "services[1].authorities[0]: tables.example/ is already the route of service tables",
        "services[1].backendServers[0].address: 10.0.0.1 port 80 is already declared as tables/one",
        "services[1].backendServers[1].availabilityZone: availability zone b is not declared; declared: a",
        "services[1].backendServers[1].address: 10.0.0.2 port 80 is already declared as tables/one",
    ]);
});

test("wants a rule for callers that name no kind, and known time zones and times", () => {
    const text = yaml
        .replace("callerKind: default", "callerKind: union, to: \"24:30\"")
        .concat("timeZone: Europe/Lonestad\n");
    assert.deepEqual(check(text), [
        "x.yaml:7:7: services[0].patience: no rule for the caller kind `default`",
        "x.yaml:8:34: services[0].patience[0].to: a time of day such as 08:30, up to 24:00",
        "x.yaml:12:1: timeZone: Europe/Lonestad is not a known time zone",
    ]);
});

test("refuses what would never match a request, or match more than it says", () => {
    // An operator writes a method in lower case: no request would ever count as non-idempotent, and a filing might be
    // sent twice. A path with a pattern in it, or an authority with a port, would match others than were meant.
    const text = yaml.replace(
        "authorities: [tables.example]",
        "authorities: [\"tables.example:80\"]\n      nonIdempotentMethods: [post]\n      pathPrefix: /:any",
    ).concat("callerKindHeader: kind of caller\n");
    assert.deepEqual(check(text).map(line => line.split(" ")[1]), [
        "services[0].authorities[0]:",
        "services[0].nonIdempotentMethods[0]:",
        "services[0].pathPrefix:",
        "callerKindHeader:",
    ]);
});

test("takes paths for the same that differ in their last slash alone", () => {
    const second = yaml.slice(yaml.indexOf("    - name: tables"))
        .replace("name: tables", "name: more")
        .replaceAll("port: 80", "port: 81")
        .replace("authorities:", "pathPrefix: /a/\n      authorities:");
    const found = check(yaml.replace("authorities:", "pathPrefix: /a\n      authorities:") + second);
    assert.deepEqual(found.map(line => line.slice(line.indexOf(" ") + 1)), [
        "services[1].authorities[0]: tables.example/a/ is already the route of service tables",
    ]);
});

test("survives documents of any shape", () => {
    for (const text of ["", "3", "[]", "services: 3", "availabilityZones: [3]\nservices: [[], { patience: 1 }]"]) {
        assert.ok(checkYaml(text, resolveConfiguration).isLeft(), text);
    }
});
