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

// One fleet for all tests of this file, which run in order: two gateways, the operators' server and a stand-in
// platform, each a process of its own.
let fleet: Fleet;
let stopped: readonly string[] | undefined;

before(async () => {
    fleet = await Fleet.start({ configuration: declared, gateways: 2, admin: true });
});
after(async () => {
    stopped ??= await fleet.stop();
});

test("a file that is applied is in force on every gateway when the command ends", async t => {
    const file = writeTemporaryFile(t, stringify(fleet.configuration));
    const { code, out, err } = await runCli(t, [fleet.adminUrl], ["apply", file], { key: fleet.fleetKey });
    assert.deepEqual([code, err], [0, []]);
    // How many gateways have joined the roster by now is not said here; those that have must all hold it.
    assert.match(out.join(), /^revision 1: in force, held by (\d) of \1 gateways$/);
    await fleet.waitUntilReady();
});

test("a change whose answer the store loses is stored once and reported as in force", async t => {
    // The store takes the operators' server's write and closes the connection without an answer. The server has to
    // find out by reading back that the zone is out; a second write would show as revision 3.
    await setPlatformFaults({ loseAnswers: 1 });
    const { code, out } = await runCli(t, [fleet.adminUrl], ["zone", "out", "a"], { key: fleet.fleetKey });
    assert.equal(code, 0);
    assert.match(out[0] ?? "", /^revision 2: in force/);
    assert.equal(out[1], "availability zones out: a");
});

test("a change during an outage of the store ends with 5, and takes effect once when it is run again", async t => {
    // The store refuses every call. The operator is told at once that there was no answer, rather than left to wait;
    // the same command with the same id is run again after the outage, and then once more by mistake.
    const zone = () =>
        runCli(t, [fleet.adminUrl], ["zone", "in", "a", "--change-id", "outage"], { key: fleet.fleetKey });
    await setPlatformFaults({ down: "refusing" });
    const during = await zone();
    assert.equal(during.code, 5);
    assert.match(during.err.join("\n"), /^storeUnavailable/);
    await setPlatformFaults({});
    for (const ended of [await zone(), await zone()]) {
        assert.equal(ended.code, 0);
        assert.match(ended.out.join(), /^revision 3: in force/);
    }
});

async function setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
    const res = await request(`${fleet.platformUrl}/faults`, { method: "PUT", body: JSON.stringify(faults) });
    await res.body.dump();
    assert.equal(res.statusCode, 200);
}

test("two operators take both zones out and bring them in at the same moment", async t => {
    const zone = (state: string, name: string) =>
        runCli(t, [fleet.adminUrl], ["zone", state, name], { key: fleet.fleetKey });
    for (const state of ["out", "in"]) {
        const ended = await Promise.all([zone(state, "a"), zone(state, "b")]);
        assert.deepEqual(ended.map(({ code }) => code), [0, 0]);
    }
    const { code, out } = await runCli(t, [fleet.adminUrl], ["status"], { key: fleet.fleetKey });
    assert.equal(code, 0);
    assert.match(out[0] ?? "", /^revision 7: in force/);
    assert.equal(out[1], "");
    assert.deepEqual(
        out.slice(-2).map(line => line.slice(line.lastIndexOf("unknown ("))),
        ["unknown (2), 0 in flight", "unknown (2), 0 in flight"],
        "both gateways answer; cold start isn't enforced, so that none tells cold from warm",
    );
});

test("a watch tells of another operator's change", async t => {
    // The change is written through the store, so that the watcher's server hears of it by the store's watch alone.
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

test("an operator's word for a running gateway is refused", async t => {
    const [{ name } = assert.fail()] = fleet.gateways;
    const { code, err } = await runCli(t, [fleet.adminUrl], ["host", "forget", name, "--yes"], { key: fleet.fleetKey });
    assert.equal(code, 2);
    assert.match(err.join(), /^badRequest: gateway .* is registered/);
});

test("the planned stop ends every process with code 0", async () => {
    stopped = await fleet.stop();
    assert.deepEqual(stopped, []);
});
