import { BackendServerObserver, type GatewayObservations } from "@galenaglade/admin";
import { checkYaml, resolveConfiguration } from "@galenaglade/configuration";
import { createFailure, type Failure } from "@galenaglade/errors";
import { Secret } from "@galenaglade/settings";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { type Either, Left, Right } from "purify-ts";
import { FakeCoordinator, fleetKey } from "../../../admin/src/__tests__/fakeFleet.js";
import { AdminClient } from "../adminClient.js";
import { maxCallAttempts } from "../constants.js";
import { commands } from "../index.js";
import { runCli, startAdmin, writeTemporaryFile } from "./runCli.js";

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
`;
const faultyYaml = yaml.replace("patienceMs: 1000", "patienceMs: long").replace("port: 80", "port: 80, colour: red");

const file = (t: TestContext, text = yaml) => writeTemporaryFile(t, text);
/** An address that nothing listens on: binding port 1 requires privileges that tests don't have. */
const unreachableUrl = "http://127.0.0.1:1";

test("the help lists every command, and every command has its own help", async t => {
    const { code, out } = await runCli(t, [], ["--help"]);
    assert.equal(code, 0);
    for (const command of commands) {
        assert.ok(out.some(line => line.startsWith(command.name)), command.name);
        const help = await runCli(t, [], [command.name, "--help"]);
        assert.equal(help.code, 0);
        assert.match(help.out.join("\n"), /--json/);
        for (const option of command.options) {
            assert.ok(help.out.some(line => line.startsWith(`--${option.name} ${option.valuePlaceholder}`)));
        }
    }
});

test("all errors in the command line are reported, with exit code 2", async t => {
    const invalidArgs = [
        "apply",
        "--admin",
        "ftp://x",
        "--key-file",
        "/none",
        "--expected-revision",
        "x",
        "--change-id",
        "#",
    ];
    const { code, err } = await runCli(t, [], invalidArgs);
    assert.equal(code, 2);
    for (const part of ["FILE", "--admin ftp://x", "--key-file /none", "--expected-revision", "--change-id"]) {
        assert.ok(err.some(line => line.includes(part)), part);
    }
    for (const args of [[], ["nothing"], ["check"], ["get"], ["status", "--colour"], ["get", "--change-id", "x"]]) {
        assert.equal((await runCli(t, [], args)).code, 2, args.join(" "));
    }
    assert.equal((await runCli(t, [unreachableUrl], ["zone", "up", "a"])).code, 2);
});

test("check reports each fault with its line", async t => {
    const path = file(t, faultyYaml);
    const { code, out, err } = await runCli(t, [], ["check", path]);
    assert.equal(code, 2);
    assert.deepEqual(out, []);
    assert.deepEqual(err.join("\n").split("\n").map(line => line.slice(path.length).split(" ", 2).join(" ")), [
        ":8:36: services[0].patience[0].patienceMs:",
        ":10:76: services[0].backendServers[0].colour:",
    ]);
    const json = await runCli(t, [], ["check", path, "--json"]);
    const parsed = JSON.parse(json.out.join("")) as { readonly faults: readonly { readonly line: number; }[]; };
    assert.deepEqual(parsed.faults.map(({ line }) => line), [8, 10]);
    assert.equal((await runCli(t, [], ["check", "/none"])).code, 2);
    const good = file(t);
    const { out: [line] } = await runCli(t, [], ["check", good]);
    assert.equal(line, `${good}: valid, 2 availability zones, 1 services, 1 backend servers`);
});

test("apply exits with 0 if the change is in force, and with 4 if it is only stored", async t => {
    const { url, coordinator } = await startAdmin(t);
    const first = await runCli(t, [url], ["apply", file(t)]);
    assert.deepEqual([first.code, first.out], [0, ["revision 2: in force, held by 1 of 1 gateways"]]);
    coordinator.inForce = false;
    const second = await runCli(t, [url], ["apply", file(t)]);
    assert.equal(second.code, 4);
    assert.deepEqual(second.out, [
        "revision 3: stored, not in force yet, held by 0 of 1 gateways",
        "GATEWAY  ZONE  STATE   REVISION",
        "entry-1  a     behind  2",
    ]);
});

test("apply changes nothing if the current revision isn't the expected one", async t => {
    const { url, coordinator } = await startAdmin(t);
    const { code, err } = await runCli(t, [url], ["apply", file(t), "--expected-revision", "0"]);
    assert.equal(code, 3);
    assert.ok(err.includes("current revision: 1"));
    assert.equal(coordinator.present.revision, 1);
    const json = await runCli(t, [url], ["apply", file(t), "--expected-revision", "0", "--json"]);
    const { error } = JSON.parse(json.out.join("")) as { readonly error: Readonly<Record<string, unknown>>; };
    assert.deepEqual([error["kind"], error["presentRevision"]], ["revisionConflict", 1]);
});

test("apply retries a change whose response was lost under the same change id", async t => {
    // The store applies the change and its response is lost, twice. A retry under a new change id would conflict with
    // the first attempt, and the operator would get the error that another change was made first.
    const { url, coordinator } = await startAdmin(t);
    coordinator.responsesToLose = 2;
    const { code, sleepsMs } = await runCli(t, [url], ["apply", file(t)]);
    assert.equal(code, 0);
    assert.equal(sleepsMs.length, 2);
    assert.equal(coordinator.history.length, 2);
});

test("a call on an unresponsive connection is retried on a new one", async t => {
    // The zone is taken out, but no response arrives on the connection, because a middlebox has dropped its state for
    // it; new connections work. A retry on the same connection would never get a response. On a new connection it does,
    // and the change is applied only once.
    const { url, coordinator } = await startAdmin(t);
    const client = new AdminClient({
        addresses: [await startProxy(t, Number(new URL(url).port))],
        fleetKey: new Secret(fleetKey),
        sleep: () => Promise.resolve(),
        signal: new AbortController().signal,
        callTimeoutMs: 500,
    });
    const result = await client.call((operator, options) =>
        operator.takeZoneOut({ name: "a", changeId: "x" }, options)
    );
    assert.equal(result.unsafeCoerce().standing?.revision, 2);
    assert.equal(coordinator.history.length, 2);
});

/** Starts a TCP proxy that drops the responses on its first connection. */
async function startProxy(t: TestContext, port: number): Promise<string> {
    const sockets: Socket[] = [];
    const proxy = createServer(client => {
        const server = connect(port, "127.0.0.1");
        const isFirst = sockets.length === 0;
        sockets.push(client, server);
        [client, server].forEach(socket => socket.on("error", () => socket.destroy()));
        client.pipe(server);
        if (!isFirst) {
            server.pipe(client);
        }
    });
    proxy.listen(0, "127.0.0.1");
    await once(proxy, "listening");
    t.after(() => {
        proxy.close();
        sockets.forEach(socket => socket.destroy());
    });
    return `http://127.0.0.1:${(proxy.address() as AddressInfo).port}`;
}

test("an unreachable admin server is skipped for the next one", async t => {
    const { url, coordinator } = await startAdmin(t);
    const { code } = await runCli(t, [unreachableUrl, url], ["zone", "out", "a"]);
    assert.equal(code, 0);
    assert.equal(coordinator.present.revision, 2);
});

test("a change without a response exits with 5 and prints how to retry it", async t => {
    const { code, err, sleepsMs } = await runCli(t, [unreachableUrl], ["zone", "out", "a", "--change-id", "tonight"]);
    assert.equal(code, 5);
    assert.equal(sleepsMs.length, maxCallAttempts - 1);
    assert.match(err.join("\n"), /--change-id tonight/);
});

test("a wrong key exits with 1 without a retry", async t => {
    const { url } = await startAdmin(t);
    const { code, err, sleepsMs } = await runCli(t, [url], ["get"], { key: `${fleetKey}0` });
    assert.deepEqual([code, sleepsMs.length], [1, 0]);
    assert.match(err.join("\n"), /^unauthenticated/);
});

test("apply accepts the output of get", async t => {
    const { url, coordinator } = await startAdmin(t);
    const { code, out } = await runCli(t, [url], ["get"]);
    assert.equal(code, 0);
    const printed = checkYaml(out.join("\n"), resolveConfiguration).unsafeCoerce();
    assert.deepEqual(printed, coordinator.present.configuration);
    assert.match(out.join("\n"), /^# revision 1, change first\n/);
    const empty = await startAdmin(t, new FakeCoordinator([]));
    const none = await runCli(t, [empty.url], ["get", "--json"]);
    assert.deepEqual(JSON.parse(none.out.join("")), { revision: 0, changeId: "" });
});

test("zone takes zones out and returns them, and warns about services without backend servers", async t => {
    const { url, coordinator } = await startAdmin(t);
    assert.equal((await runCli(t, [url], ["zone", "out", "a"])).code, 0);
    const { code, out } = await runCli(t, [url], ["zone", "out", "b"]);
    assert.equal(code, 0);
    assert.deepEqual(out.slice(1), [
        "availability zones out: a, b",
        "warning: no backend server in any availability zone that is in: tables",
    ]);
    assert.equal((await runCli(t, [url], ["zone", "in", "a"])).code, 0);
    assert.deepEqual(coordinator.present.configuration.availabilityZones.map(({ state }) => state), ["in", "out"]);
    const unknown = await runCli(t, [url], ["zone", "out", "c"]);
    assert.equal(unknown.code, 2);
    assert.match(unknown.err.join("\n"), /declared: a, b/);
});

test("status prints gateways, hosts and backend servers", async t => {
    const { url } = await startAdmin(t);
    await runCli(t, [url], ["zone", "out", "b"]);
    const { code, out } = await runCli(t, [url], ["status"]);
    assert.equal(code, 0);
    assert.deepEqual(out, [
        "revision 2: in force, held by 1 of 1 gateways",
        "availability zones out: b",
        "",
        "GATEWAY  ZONE  STATE     REVISION",
        "entry-1  a     in force  2",
        "",
        "HOST     ZONE  ADDRESS   STATE",
        "entry-1  a     10.0.0.9  live",
        "",
        "SERVICE  BACKEND SERVER  ZONE  ADDRESS           HOST      STATE",
        "tables   one             a     10.0.0.1 port 80  unlisted  declared",
        "tables   two             b     10.0.0.2 port 80  unlisted  zone out",
    ]);
    const json = await runCli(t, [url], ["status", "--json"]);
    const { standing } = JSON.parse(json.out.join("")) as { readonly standing: Readonly<Record<string, unknown>>; };
    assert.deepEqual([standing["revision"], standing["zonesOut"]], [2, ["b"]]);
});

class FixedObserver extends BackendServerObserver {
    readonly #observed: Either<Failure, GatewayObservations>;

    constructor(observed: Either<Failure, GatewayObservations>) {
        super();
        this.#observed = observed;
    }

    override observe(): Promise<Either<Failure, GatewayObservations>> {
        return Promise.resolve(this.#observed);
    }
}

test("status prints what gateways report about each backend server, and which reports are missing", async t => {
    const one = { serverId: "tables/one", state: "warm", ownInFlight: 2 } as const;
    const two = { serverId: "tables/two", state: undefined, ownInFlight: 1 } as const;
    const unreported = { reportedInFlight: undefined, reportedAgeMs: undefined };
    const { url } = await startAdmin(
        t,
        new FakeCoordinator(),
        new FixedObserver(Right({
            answered: [
                {
                    gateway: "entry-1",
                    servers: [{ ...one, reportedInFlight: 9, reportedAgeMs: 1_240 }, { ...two, ...unreported }],
                    omitted: 3,
                },
                {
                    gateway: "entry-2",
                    servers: [{ ...one, state: "cold", reportedInFlight: 4, reportedAgeMs: 310 }],
                    omitted: 0,
                },
            ],
            unanswered: ["entry-3", "entry-4"],
        })),
    );
    await runCli(t, [url], ["zone", "out", "b"]);
    const { out } = await runCli(t, [url], ["status"]);
    const states = out.slice(-4).map(line => line.slice(line.indexOf("unlisted")));
    assert.deepEqual(states.slice(0, 2), [
        "unlisted  warm (1), cold (1), 4 in flight, server reports 4 (0.3 s ago)",
        "unlisted  zone out, unknown (1), 1 in flight",
    ]);
    assert.deepEqual(out.slice(-2), [
        "warning: not included, since they did not respond: entry-3, entry-4",
        "warning: gateways omitted 3 observations to limit the response size",
    ]);
    const { out: json } = await runCli(t, [url], ["status", "--json"]);
    const printed = JSON.parse(json.join("")) as Readonly<Record<string, unknown>>;
    const [listed] = printed["backendServers"] as readonly { readonly observations: unknown; }[];
    assert.deepEqual(listed?.observations, [
        { gateway: "entry-1", state: "warm", inFlight: 2, reportedInFlight: 9, reportedAgeMs: 1_240 },
        { gateway: "entry-2", state: "cold", inFlight: 2, reportedInFlight: 4, reportedAgeMs: 310 },
    ]);
    assert.deepEqual(
        [printed["unansweredGateways"], printed["omittedObservations"], printed["observationFailure"]],
        [["entry-3", "entry-4"], 3, ""],
    );
});

test("status prints the declared backend servers if the gateways can't be queried", async t => {
    const failure = createFailure("storeUnavailable", "the platform does not answer");
    const { url } = await startAdmin(t, new FakeCoordinator(), new FixedObserver(Left(failure)));
    const { code, out } = await runCli(t, [url], ["status"]);
    assert.equal(code, 0);
    assert.match(out.at(-2) ?? "", /declared$/);
    assert.equal(
        out.at(-1),
        "warning: could not query the gateways about backend servers: the platform does not answer",
    );
});

// Guards against forgetting a running host by accident: the fleet can't verify the operator's statement in the case in
// which it is needed. Without --yes, the command prints the consequences and makes no call.
test("host forget does nothing without --yes but explain the consequences", async t => {
    const { url, coordinator } = await startAdmin(t);
    const unconfirmed = await runCli(t, [url], ["host", "forget", "entry-2"]);
    assert.deepEqual([unconfirmed.code, unconfirmed.out, coordinator.forgotten], [2, [], []]);
    assert.match(unconfirmed.err.join("\n"), /no longer runs[^]*never received[^]*--yes/);
    const done = await runCli(t, [url], ["host", "forget", "entry-2", "--yes"]);
    assert.deepEqual([done.code, done.out, coordinator.forgotten], [0, ["forgotten: entry-2"], ["entry-2"]]);
    const refused = await runCli(t, [url], ["host", "forget", "entry-1", "--yes"]);
    assert.deepEqual([refused.code, refused.err], [2, ["badRequest: still registered"]]);
    const json = await runCli(t, [url], ["host", "forget", "entry-3", "--yes", "--json"]);
    assert.deepEqual(JSON.parse(json.out.join("")), { forgotten: "entry-3" });
    assert.equal((await runCli(t, [url], ["host", "remember", "entry-2", "--yes"])).code, 2);
    assert.equal((await runCli(t, [url], ["zone", "out", "a", "--yes"])).code, 2);
    assert.deepEqual(coordinator.forgotten, ["entry-2", "entry-3"]);
});

test("watch reports each change, and the lost connection while its server is replaced", async t => {
    // The host of the watched admin server is stopped and replaced. The command must report that it lost the connection
    // and continue with another server; without the report, it would look as if nothing had changed.
    const first = await startAdmin(t);
    const second = await startAdmin(t, first.coordinator);
    const interrupt = new AbortController();
    const seen: string[] = [];
    const { code, err } = await runCli(t, [first.url, second.url], ["watch"], {
        signal: interrupt.signal,
        onOut: line => {
            seen.push(line);
            if (seen.length === 1) {
                const { coordinator, signal } = first;
                coordinator.history.push({ ...coordinator.present, revision: 2, changeId: "x" });
                signal.announce();
            }
            else if (seen.length === 2) {
                void first.server.stop();
            }
            else {
                interrupt.abort();
            }
        },
    });
    assert.equal(code, 0);
    assert.deepEqual(seen.map(line => line.slice(0, line.indexOf(":"))), ["revision 1", "revision 2", "revision 2"]);
    assert.match(err.join("\n"), /reconnecting/);
});
