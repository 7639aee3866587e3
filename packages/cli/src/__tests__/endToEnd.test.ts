import { type ConfigurationInput } from "@galenaglade/configuration";
import { Fleet, FleetConfigurer, type PlatformFaults } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import { stringify } from "yaml";
import { runCli, writeTemporaryFile } from "./runCli.js";

const declared: ConfigurationInput = {
    availabilityZones: [{ name: "a" }, { name: "b" }],
    services: [{
        name: "tables",
        authorities: ["*"],
        patience: [{ callerKind: "default", patienceMs: 5_000 }],
        backendServers: [
            { name: "one", availabilityZone: "a", address: "127.0.0.1", port: 1 },
            { name: "two", availabilityZone: "b", address: "127.0.0.1", port: 2 },
        ],
    }],
};

// All tests of this file share one fleet and run in order. Two gateways, the admin server and a stand-in platform run
// as separate processes.
let fleet: Fleet;
let stopped: readonly string[] | undefined;

before(async () => {
    fleet = await Fleet.start({ configuration: declared, gateways: 2, admin: true });
});
after(async () => {
    stopped ??= await fleet.stop();
});

test("an applied file is in force on every gateway when the command exits", async t => {
    const file = writeTemporaryFile(t, stringify(fleet.configuration));
    const { code, out, err } = await runCli(t, [fleet.adminUrl], ["apply", file], { key: fleet.fleetKey });
    assert.deepEqual([code, err], [0, []]);
    // Any number of gateways may have joined the roster by now, but all of them must have the change in force.
    assert.match(out.join(), /^revision 1: in force, held by (\d) of \1 gateways$/);
    await fleet.waitUntilReady();
});

test("a change whose store response is lost is stored once and reported as in force", async t => {
    // The store applies the admin server's write but closes the connection without a response. The server must read
    // the state back to find that the zone is out; a second write would result in revision 3.
    await setPlatformFaults({ loseAnswers: 1 });
    const { code, out } = await runCli(t, [fleet.adminUrl], ["zone", "out", "a"], { key: fleet.fleetKey });
    assert.equal(code, 0);
    assert.match(out[0] ?? "", /^revision 2: in force/);
    assert.equal(out[1], "availability zones out: a");
});

test("a change during a store outage exits with 5, and takes effect once when it is repeated", async t => {
    // The store rejects every call. The command must fail immediately instead of leaving the operator waiting. After
    // the outage, the same command is run again with the same change id, and then once more by mistake.
    const runZoneCommand = () =>
        runCli(t, [fleet.adminUrl], ["zone", "in", "a", "--change-id", "outage"], { key: fleet.fleetKey });
    await setPlatformFaults({ down: "refusing" });
    const during = await runZoneCommand();
    assert.equal(during.code, 5);
    assert.match(during.err.join("\n"), /^storeUnavailable/);
    await setPlatformFaults({});
    for (const result of [await runZoneCommand(), await runZoneCommand()]) {
        assert.equal(result.code, 0);
        assert.match(result.out.join(), /^revision 3: in force/);
    }
});

async function setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
    const res = await request(`${fleet.platformUrl}/faults`, { method: "PUT", body: JSON.stringify(faults) });
    await res.body.dump();
    assert.equal(res.statusCode, 200);
}

test("two operators concurrently take both zones out of service and return them", async t => {
    const runZoneCommand = (state: string, name: string) =>
        runCli(t, [fleet.adminUrl], ["zone", state, name], { key: fleet.fleetKey });
    for (const state of ["out", "in"]) {
        const results = await Promise.all([runZoneCommand(state, "a"), runZoneCommand(state, "b")]);
        assert.deepEqual(results.map(({ code }) => code), [0, 0]);
    }
    const { code, out } = await runCli(t, [fleet.adminUrl], ["status"], { key: fleet.fleetKey });
    assert.equal(code, 0);
    assert.match(out[0] ?? "", /^revision 7: in force/);
    assert.equal(out[1], "");
    assert.deepEqual(
        out.slice(-2).map(line => line.slice(line.lastIndexOf("unknown ("))),
        ["unknown (2), 0 in flight", "unknown (2), 0 in flight"],
        "both gateways respond; cold start isn't enforced, so neither knows whether servers are cold or warm",
    );
});

test("a watch reports another operator's change", async t => {
    // The change is written directly to the store, so the admin server can only learn of it from its store watch.
    const other = new FleetConfigurer(fleet);
    const interrupt = new AbortController();
    const seen: string[] = [];
    const watch = await runCli(t, [fleet.adminUrl], ["watch"], {
        key: fleet.fleetKey,
        signal: interrupt.signal,
        onOut: line => {
            seen.push(line);
            if (seen.length === 1) {
                void other.apply(fleet.configuration);
            }
            else if (line.startsWith("revision 8: in force")) {
                interrupt.abort();
            }
        },
    });
    await other.close();
    assert.equal(watch.code, 0);
    assert.match(seen[0] ?? "", /^revision 7: in force/);
});

test("a running gateway can't be forgotten", async t => {
    const [{ name } = assert.fail()] = fleet.gateways;
    const { code, err } = await runCli(t, [fleet.adminUrl], ["host", "forget", name, "--yes"], { key: fleet.fleetKey });
    assert.equal(code, 2);
    assert.match(err.join(), /^badRequest: gateway .* is registered/);
});

test("every process exits with code 0 on graceful shutdown", async () => {
    stopped = await fleet.stop();
    assert.deepEqual(stopped, []);
});
