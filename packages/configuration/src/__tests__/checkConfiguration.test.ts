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

test("accepts a valid configuration and freezes it", () => {
    const cfg = checkYaml(yaml, resolveConfiguration).unsafeCoerce();
    assert.equal(cfg.services[0]?.coldStart.concurrency, 1);
    assert.ok(Object.isFrozen(cfg.services[0].backendServers[0]));
});

test("reports schema violations and wrong references in one run", () => {
    // The file contains a port out of range, a misspelt key and a server in an undeclared zone. References are checked
    // in a second pass; if it were skipped after a schema violation, the operator would see the third fault only after
    // fixing the first two.
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

test("reports all duplicate declarations", () => {
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

test("requires a default patience rule, and rejects unknown time zones and times", () => {
    const text = yaml
        .replace("callerKind: default", "callerKind: union, to: \"24:30\"")
        .concat("timeZone: Europe/Lonestad\n");
    assert.deepEqual(check(text), [
        "x.yaml:7:7: services[0].patience: no rule for the caller kind `default`",
        "x.yaml:8:34: services[0].patience[0].to: a time of day such as 08:30, up to 24:00",
        "x.yaml:12:1: timeZone: Europe/Lonestad is not a known time zone",
    ]);
});

test("rejects methods, paths, authorities and headers that could not match as written", () => {
    // With a method in lower case, no request would be treated as non-idempotent, and a filing might be sent twice. A
    // path with a pattern or an authority with a port would match other requests than intended.
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

test("treats paths that differ only in a trailing slash as the same route", () => {
    const second = yaml.slice(yaml.indexOf("    - name: tables"))
        .replace("name: tables", "name: more")
        .replaceAll("port: 80", "port: 81")
        .replace("authorities:", "pathPrefix: /a/\n      authorities:");
    const found = check(yaml.replace("authorities:", "pathPrefix: /a\n      authorities:") + second);
    assert.deepEqual(found.map(line => line.slice(line.indexOf(" ") + 1)), [
        "services[1].authorities[0]: tables.example/a/ is already the route of service tables",
    ]);
});

test("rejects documents of any other structure without throwing", () => {
    for (const text of ["", "3", "[]", "services: 3", "availabilityZones: [3]\nservices: [[], { patience: 1 }]"]) {
        assert.ok(checkYaml(text, resolveConfiguration).isLeft(), text);
    }
});
