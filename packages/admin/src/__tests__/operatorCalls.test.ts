import { type Configuration } from "@galenaglade/configuration";
import { checkOperatorChanges, type OperatorChangeLine } from "@galenaglade/history";
import { HostState } from "@galenaglade/schema";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseOperatorChangeId } from "../changeId.js";
import { OperatorCalls } from "../index.js";
import { declared, FakeCoordinator, FakeHostList, resolved } from "./fakeFleet.js";

function createCalls(coordinator: FakeCoordinator, hosts = new FakeHostList()): OperatorCalls {
    return new OperatorCalls({ coordinator, hosts, acceptWaitMs: 1_000 });
}

const zone = (name: string, state: "in" | "out", changeId: string, expectedRevision?: number) => ({
    name,
    state,
    changeId,
    expectedRevision,
});
const statesOf = (cfg: Configuration) => cfg.availabilityZones.map(({ state }) => state);

test("concurrent zone changes of two operators both take effect", async () => {
    // Two operators take zones a and b out concurrently. Both calls read revision 1, and the store accepts only one
    // write. The other call must read again and reapply its change. A conflict would tell its operator that the zone
    // can't be taken out, and overwriting the first change would bring the first zone back in.
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    const answers = await Promise.all([
        calls.changeZone(zone("a", "out", "first")),
        calls.changeZone(zone("b", "out", "second")),
    ]);
    assert.deepEqual(answers.map(answer => answer.isRight()), [true, true]);
    assert.deepEqual(coordinator.history.map(({ configuration }) => statesOf(configuration)), [
        ["in", "in"],
        ["out", "in"],
        ["out", "out"],
    ]);
});

test("in any order of steps, each zone change takes effect once and changes nothing else", async () => {
    // Several operators change zones concurrently through different hosts. Some responses are lost, and those calls are
    // retried with the same change id. A lost update would show as a revision that reverts another call's change, and a
    // repeated update as a second revision of the same call.
    const operators = fc.array(fc.record({ name: fc.constantFrom("a", "b"), state: fc.constantFrom("in", "out") }), {
        minLength: 2,
        maxLength: 5,
    });
    const run = fc.asyncProperty(fc.scheduler(), operators, fc.nat(3), async (scheduler, changes, lost) => {
        const history: OperatorChangeLine[] = [];
        const coordinator = new FakeCoordinator();
        coordinator.responsesToLose = lost;
        coordinator.beforeStep = step => scheduler.schedule(Promise.resolve(), step);
        coordinator.onStored = ({ revision, changeId, configuration }) => {
            const states = Object.fromEntries(configuration.availabilityZones.map(({ name, state }) => [name, state]));
            history.push({ type: "revisionStored", revision, changeId: parseOperatorChangeId(changeId), states });
        };
        const runs = changes.map(async ({ name, state }, i) => {
            const changeId = `change-${i}`;
            for (;;) {
                history.push({ type: "zoneChangeCalled", changeId, availabilityZone: name, state });
                const answer = await createCalls(coordinator).changeZone(zone(name, state, changeId));
                if (answer.isRight()) {
                    history.push({ type: "zoneChangeAnswered", changeId, revision: answer.unsafeCoerce().revision });
                    return;
                }
                assert.equal(answer.swap().unsafeCoerce().failure.kind, "storeOutcomeUnknown");
            }
        });
        await scheduler.waitFor(Promise.all(runs));
        assert.deepEqual(checkOperatorChanges(history, { a: "in", b: "in" }), []);
    });
    await fc.assert(run, { numRuns: 200, includeErrorInReport: true });
});

test("a stale configuration is refused with the current revision, and nothing is merged", async () => {
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    await calls.changeZone(zone("a", "out", "zone"));
    const stale = { changeId: "file", expectedRevision: 1, configuration: declared };
    const { failure, presentRevision } = (await calls.applyConfiguration(stale)).swap().unsafeCoerce();
    assert.equal(failure.kind, "revisionConflict");
    assert.equal(presentRevision, 2);
    assert.equal(coordinator.present.revision, 2);
});

test("a retry of a call whose response was lost is recognised", async () => {
    // The write takes effect but its response is lost, and the command retries the call with the same change id. By
    // then the current revision is 2, not the expected 1. The retry must get the first call's result, not a conflict.
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    coordinator.responsesToLose = 1;
    const change = { changeId: "file", expectedRevision: 1, configuration: declared };
    const first = await calls.applyConfiguration(change);
    assert.equal(first.swap().unsafeCoerce().failure.kind, "storeOutcomeUnknown");
    const second = (await calls.applyConfiguration(change)).unsafeCoerce();
    assert.deepEqual([second.revision, second.changeId, second.inForce], [2, "file", true]);
    assert.equal(coordinator.history.length, 2);
});

test("a late retry of a zone change doesn't undo a later change", async () => {
    // Operator one takes zone a out, and the response is lost. Operator two brings the zone back in. Then operator
    // one's command retries its call. Executing it again would take out a zone that operators expect to be in.
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    coordinator.responsesToLose = 1;
    await calls.changeZone(zone("a", "out", "one"));
    await calls.changeZone(zone("a", "in", "two"));
    const again = (await calls.changeZone(zone("a", "out", "one"))).unsafeCoerce();
    assert.equal(again.revision, 2);
    assert.deepEqual(statesOf(coordinator.present.configuration), ["in", "in"]);
});

test("another call with the same change id is not treated as a retry of the first", async () => {
    // A script uses one change id to take a zone out and to bring it back in. If calls were recognised by the id alone,
    // the second would be reported as done while the zone stays out.
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    await calls.changeZone(zone("a", "out", "nightly"));
    await calls.changeZone(zone("a", "in", "nightly"));
    assert.deepEqual(statesOf(coordinator.present.configuration), ["in", "in"]);
});

test("a zone change with an expected revision isn't reapplied after a conflict", async () => {
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    await calls.changeZone(zone("b", "out", "other"));
    const answer = await calls.changeZone(zone("a", "out", "mine", 1));
    const { failure, presentRevision } = answer.swap().unsafeCoerce();
    assert.deepEqual([failure.kind, presentRevision], ["revisionConflict", 2]);
});

test("a zone change that always conflicts fails after a limited number of attempts", async () => {
    const coordinator = new FakeCoordinator();
    let changes = 0;
    coordinator.beforeStep = step => {
        if (step === "apply") {
            const { revision, configuration } = coordinator.present;
            coordinator.history.push({ revision: revision + 1, changeId: `other-${changes++}`, configuration });
        }
        return Promise.resolve();
    };
    const answer = await createCalls(coordinator).changeZone(zone("a", "out", "mine"));
    assert.equal(answer.swap().unsafeCoerce().failure.kind, "revisionConflict");
    assert.ok(changes > 1);
});

test("applying a file without zone states keeps a zone out and reports it", async () => {
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    await calls.changeZone(zone("a", "out", "zone"));
    const change = { changeId: "file", expectedRevision: 2, configuration: declared };
    const standing = (await calls.applyConfiguration(change)).unsafeCoerce();
    assert.deepEqual(standing.zonesOut, ["a"]);
    assert.deepEqual(statesOf(coordinator.present.configuration), ["out", "in"]);
});

test("reports the services that a zone change leaves without backend servers", async () => {
    const calls = createCalls(new FakeCoordinator());
    const first = (await calls.changeZone(zone("a", "out", "one"))).unsafeCoerce();
    assert.deepEqual(first.unservedServices, []);
    const second = (await calls.changeZone(zone("b", "out", "two"))).unsafeCoerce();
    assert.deepEqual(second.unservedServices, ["tables"]);
});

test("refuses invalid input and reports every fault", async () => {
    const coordinator = new FakeCoordinator();
    const calls = createCalls(coordinator);
    const kindOf = async (change: Parameters<OperatorCalls["applyConfiguration"]>[0]) =>
        (await calls.applyConfiguration(change)).swap().unsafeCoerce().failure.kind;
    const good = { changeId: "x", expectedRevision: 1, configuration: declared };
    assert.equal(await kindOf({ ...good, changeId: "" }), "badRequest");
    assert.equal(await kindOf({ ...good, changeId: "a#b" }), "badRequest");
    assert.equal(await kindOf({ ...good, expectedRevision: undefined }), "badRequest");
    assert.equal(await kindOf({ ...good, configuration: undefined }), "badRequest");
    const faulty = { ...declared, timeZone: "Nowhere", availabilityZones: [{ name: "a" }] };
    const answer = await calls.applyConfiguration({ ...good, configuration: faulty });
    const { failure, faults } = answer.swap().unsafeCoerce();
    assert.equal(failure.kind, "configurationInvalid");
    assert.equal(faults?.length, 2);
    assert.equal(coordinator.history.length, 1);
});

test("refuses a configuration that the store can't hold", async () => {
    const servers = Array.from({ length: 9_500 }, (_, i) => ({
        name: `server-${i}`,
        availabilityZone: "a",
        address: `10.0.${i >> 8}.${i & 255}`,
        port: 80,
    }));
    const large = { ...declared, services: declared.services.map(svc => ({ ...svc, backendServers: servers })) };
    const change = { changeId: "x", expectedRevision: 1, configuration: large };
    const { failure } = (await createCalls(new FakeCoordinator()).applyConfiguration(change)).swap().unsafeCoerce();
    assert.match(failure.detail, /the store holds at most/);
});

test("lists hosts with their gateways, and gateways whose host is not listed", async () => {
    const hosts = new FakeHostList();
    hosts.hosts = [{ name: "entry-2", address: "10.0.0.8", availabilityZone: "b", state: "leaving" }];
    const listed = (await createCalls(new FakeCoordinator(), hosts).listHosts()).unsafeCoerce();
    assert.deepEqual(listed.map(({ name, state, gateway }) => [name, state, gateway?.revision]), [
        ["entry-2", HostState.LEAVING, undefined],
        ["entry-1", HostState.UNLISTED, 1],
    ]);
});

test("lists backend servers with the state of their zone and host", async () => {
    const hosts = new FakeHostList();
    const calls = createCalls(new FakeCoordinator(), hosts);
    const list = async () => (await calls.listBackendServers("tables")).unsafeCoerce();
    await calls.changeZone(zone("b", "out", "x"));
    hosts.hosts = [{ name: "one", address: "10.0.0.1", availabilityZone: "a", state: "leaving" }];
    const { revision, servers } = await list();
    assert.equal(revision, 2);
    assert.deepEqual(servers.map(({ server, zoneState, hostState }) => [server.name, zoneState, hostState]), [
        ["one", "in", HostState.LEAVING],
        ["two", "out", HostState.UNLISTED],
    ]);
    assert.equal(servers[0]?.server, resolved.services[0]?.backendServers[0]);
    hosts.hosts = [...hosts.hosts, { name: "other", address: "10.0.0.1", availabilityZone: "a", state: "live" }];
    assert.equal((await list()).servers[0]?.hostState, HostState.UNSPECIFIED);
    hosts.isDown = true;
    assert.equal((await list()).servers[1]?.hostState, HostState.UNSPECIFIED);
    assert.equal((await calls.listHosts()).swap().unsafeCoerce().failure.kind, "storeUnavailable");
    const unknown = await calls.listBackendServers("table");
    assert.equal(unknown.swap().unsafeCoerce().failure.kind, "notFound");
});
