import { formatFaults } from "@galenaglade/configuration";
import assert from "node:assert/strict";
import { test } from "node:test";
import { inspect } from "node:util";
import { printSettings, resolveAdminSettings, resolveGatewaySettings } from "../index.js";

const key = "0123456789abcdef0123456789abcdef";

const gatewayYaml = `name: entry-1
availabilityZone: north-a
callers: { address: 10.0.0.4, port: 8080 }
peers:
    address: 10.0.0.4
    port: 7400
    seeds: ["10.0.0.5:7400", "[fd00::6]:7400"]
operations: { port: 9100 }
platform:
    address: http://10.0.0.2:4000
fleetKey:
    file: /run/fleet.key
`;

const readKey = () => `${key}\n`;

test("fills in defaults and freezes the settings", () => {
    const settings = resolveGatewaySettings(gatewayYaml, readKey).unsafeCoerce();
    assert.equal(settings.callers.maximumHeaderBytes, 16_384);
    assert.equal(settings.stopping.balancerWaitMs, 5_000);
    assert.equal(settings.fleetKey.reveal(), key);
    assert.ok(Object.isFrozen(settings.callers));
    assert.ok(Object.isFrozen(settings.peers.seeds));
});

test("never prints the fleet's key", () => {
    const settings = resolveGatewaySettings(gatewayYaml, readKey).unsafeCoerce();
    for (
        const text of [printSettings(settings), inspect(settings), JSON.stringify(settings), String(settings.fleetKey)]
    ) {
        assert.ok(!text.includes(key), text);
        assert.match(text, /\[hidden\]/);
    }
});

test("reports all faults at once, each with its line and the accepted values", () => {
    // A settings file contains several mistakes. Each run requires a rollout through the platform, so reporting only
    // the first fault would cost one rollout per mistake.
    const yaml = gatewayYaml
        .replace("name: entry-1\n", "name: Entry 1\n")
        .replace("port: 8080", "port: \"8080\", maxConnections: 5")
        .replace("    port: 7400\n", "")
        .replace("10.0.0.5:7400", "entry-5")
        .replace("http://10.0.0.2:4000", "10.0.0.2")
        .concat("logging:\n    level: loud\n");
    const faults = resolveGatewaySettings(yaml, readKey).swap().unsafeCoerce();
    assert.equal(
        formatFaults("gateway.yaml", faults),
        [
            "gateway.yaml:1:1: name: expected lower case letters, digits and hyphens, at most 63",
            "gateway.yaml:3:31: callers.port: Invalid input: expected number, received string",
            "gateway.yaml:3:45: callers.maxConnections: unknown key; accepted keys: "
            + "address, port, maximumConnections, maximumHeaderBytes, requestTimeoutMs",
            "gateway.yaml:4:1: peers.port: missing; expected number",
            "gateway.yaml:6:13: peers.seeds[0]: expected an IP number and a port such as 10.0.0.4:7400 or [fd00::4]:7400",
            "gateway.yaml:9:5: platform.address: expected a URL such as http://10.0.0.2:4000",
            "gateway.yaml:13:5: logging.level: Invalid option: expected one of \"error\"|\"warn\"|\"info\"|\"debug\"",
        ].join("\n"),
    );
});

test("reports a duplicate key along with the other faults", () => {
    const faults = resolveGatewaySettings(`${gatewayYaml}name: entry-2\ncolour: red\n`, readKey).swap().unsafeCoerce();
    assert.deepEqual(faults.map(fault => fault.line), [13, 14]);
    assert.match(faults[0]?.message ?? "", /unique/);
});

test("reports a syntax error with its line", () => {
    const faults = resolveGatewaySettings("name: entry-1\ncallers: { port: [\n", readKey).swap().unsafeCoerce();
    assert.ok(faults.length > 0);
    assert.ok(faults.every(fault => fault.line >= 2));
});

test("rejects an empty file, a list, and a second document", () => {
    for (const yaml of ["", "- name: x", `${gatewayYaml}---\n${gatewayYaml}`]) {
        assert.ok(resolveGatewaySettings(yaml, readKey).isLeft(), yaml);
    }
});

test("rejects a YAML alias bomb without expanding it", () => {
    const levels = ["a0: &a0 x"];
    for (let i = 1; i < 12; i++) {
        levels.push(`a${i}: &a${i} [${`*a${i - 1},`.repeat(10)}]`);
    }
    const faults = resolveGatewaySettings(levels.join("\n"), readKey).swap().unsafeCoerce();
    assert.match(faults[0]?.message ?? "", /alias/);
});

test("requires exactly one source of the fleet's key, along with other faults", () => {
    const both = gatewayYaml.replace("file: /run/fleet.key", `{ file: /run/fleet.key, value: ${key}, colour: red }`);
    const messages = resolveGatewaySettings(both, readKey).swap().unsafeCoerce().map(fault => fault.message);
    assert.deepEqual(messages, [
        "expected exactly one of file, value",
        "unknown key; accepted keys: file, value",
    ]);
});

test("reports an unreadable or short key file with its line", () => {
    const unreadable = resolveGatewaySettings(gatewayYaml, () => {
        throw new Error("no such file");
    }).swap().unsafeCoerce();
    assert.deepEqual(unreadable.map(fault => [fault.line, fault.message]), [[12, "no such file"]]);
    const short = resolveGatewaySettings(gatewayYaml, () => "short\n").swap().unsafeCoerce();
    assert.deepEqual(short.map(fault => [fault.line, fault.message]), [
        [12, "the key in this file is shorter than 32 characters"],
    ]);
});

test("rejects a wildcard as peer address", () => {
    const yaml = gatewayYaml.replace("    address: 10.0.0.4", "    address: 0.0.0.0");
    const faults = resolveGatewaySettings(yaml, readKey).swap().unsafeCoerce();
    assert.deepEqual(faults.map(fault => fault.line), [5]);
});

test("resolves the settings of the operators' server", () => {
    const yaml =
        `address: 127.0.0.1\nport: 0\nplatform: { address: "http://127.0.0.1:1" }\nfleetKey: { value: ${key} }\n`;
    const settings = resolveAdminSettings(yaml).unsafeCoerce();
    assert.equal(settings.acceptWaitMs, 10_000);
    assert.equal(settings.fleetKey.reveal(), key);
});

test("rejects a drain time shorter than a change may wait to be in force", () => {
    const yaml = `address: 127.0.0.1
port: 0
platform: { address: "http://127.0.0.1:1" }
fleetKey: { value: ${key} }
stopping:
    drainMs: 9999
`;
    const faults = resolveAdminSettings(yaml).swap().unsafeCoerce();
    assert.equal(
        formatFaults("admin.yaml", faults),
        "admin.yaml:6:5: stopping.drainMs: expected at least acceptWaitMs",
    );
    assert.ok(resolveAdminSettings(yaml.replace("9999", "10000")).isRight());
});
