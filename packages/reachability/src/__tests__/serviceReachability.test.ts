import assert from "node:assert/strict";
import { test } from "node:test";
import { type ServerContact, type ServerContactResult, type ReachabilityState, ServiceReachability } from "../index.js";

const servers = (): number => 6;

function contact(
    server: number,
    end: ServerContactResult,
    startedAtMs: number,
    isNewConnection = false,
): ServerContact {
    return { service: "tables", serverId: `server-${server}`, isNewConnection, end, startedAtMs };
}

/** Creates a service none of whose servers has answered from the given time on. */
function createDoubted(atMs = 1_000): ServiceReachability {
    const reach = new ServiceReachability();
    for (let i = 0; i < 3; i++) {
        reach.onContact(contact(i, "silent", atMs), servers, atMs + 150);
    }
    assert.equal(reach.state, "doubted");
    return reach;
}

// Guards against a host that mistakes a few failed servers for failing links.
test("links are doubted once enough servers have failed for long enough without an answer since", () => {
    const cases: readonly (readonly [string, readonly ServerContact[], number, ReachabilityState])[] = [
        ["two servers", [0, 1, 0].map(i => contact(i, "silent", 0)), 200, "reached"],
        ["three servers for a moment", [0, 1, 2].map(i => contact(i, "silent", 0)), 100, "reached"],
        ["three servers", [0, 1, 2].map(i => contact(i, "refused", 0)), 200, "doubted"],
        [
            "one answered since",
            [...[0, 1, 2].map(i => contact(i, "silent", 0)), contact(3, "heard", 1)],
            200,
            "reached",
        ],
        [
            "one answered at the same time",
            [contact(3, "heard", 0), ...[0, 1, 2].map(i => contact(i, "lost", 0))],
            200,
            "reached",
        ],
        ["one answered before", [contact(3, "heard", 0), ...[0, 1, 2].map(i => contact(i, "lost", 1))], 200, "doubted"],
    ];
    for (const [name, contacts, nowMs, state] of cases) {
        const reach = new ServiceReachability();
        contacts.forEach(each => reach.onContact(each, servers, nowMs));
        assert.equal(reach.state, state, name);
    }
});

// Guards against taking a late answer to a request from before a partition as proof that links work.
test("a late answer shows only that the server was reachable when its request was written", () => {
    const reach = createDoubted(1_000);
    reach.onContact(contact(5, "heard", 900), servers, 1_200);
    assert.equal(reach.state, "doubted");
    reach.onContact(contact(5, "heard", 1_100), servers, 1_200);
    assert.equal(reach.state, "reached");
});

// Guards against a host that keeps opening connections without success because its established ones still work.
test("links are doubted if established connections work but no new one does", () => {
    const reach = new ServiceReachability();
    for (let i = 0; i < 3; i++) {
        reach.onContact(contact(i, "refused", i * 250, true), servers, i * 250 + 1);
        reach.onContact(contact(i, "heard", i * 250 + 2), servers, i * 250 + 3);
    }
    reach.onContact(contact(4, "refused", 750, true), servers, 751);
    assert.equal(reach.state, "doubted");
});

// Guards against missing the loss of a service that has only one or two servers.
test("fewer failed servers are enough in a small service", () => {
    const reach = new ServiceReachability();
    [0, 100, 200].forEach(atMs => reach.onContact(contact(0, "refused", atMs), () => 1, atMs + 1));
    assert.equal(reach.state, "doubted");
});

// Guards against handing requests between hosts that have all lost the same servers.
test("links count as lost only once another gateway reaches the service", () => {
    const unreachable = createDoubted();
    assert.equal(unreachable.onPeerQueryResult(false, 1_200)?.to, "unreachable");
    assert.equal(unreachable.isPeerQueryDue(1_300), true);
    unreachable.onPeersQueried(1_300);
    assert.equal(unreachable.isPeerQueryDue(1_400), false);
    assert.equal(unreachable.isPeerQueryDue(1_800), true);
    const lost = createDoubted();
    assert.equal(lost.onPeerQueryResult(true, 1_200)?.to, "lost");
});

// Guards against losing requests on links that are used again after a single successful probe.
test("lost links are used again after two consecutive probe rounds, and twice as many after each relapse", () => {
    const reach = createDoubted();
    reach.onPeerQueryResult(true, 1_200);
    const rounds: number[] = [];
    for (let nowMs = 1_200; rounds.length < 6; nowMs += 1_000) {
        let count = 0;
        do {
            count++;
            reach.onProbeRound(true, nowMs);
        }
        while (reach.state !== "reached");
        rounds.push(count);
        for (let i = 0; i < 3; i++) {
            reach.onContact(contact(i, "silent", nowMs + 1), servers, nowMs + 200);
        }
        reach.onPeerQueryResult(true, nowMs + 200);
    }
    assert.deepEqual(rounds, [2, 4, 8, 16, 16, 16]);
    reach.onProbeRound(true, 10_000);
    reach.onProbeRound(false, 10_250);
    assert.equal(reach.state, "lost");
});

// Guards against making all requests wait for a known failure, and against not noticing that it is over because no
// request tries.
test("one request per second tries servers directly while no gateway reaches the service", () => {
    const reach = createDoubted();
    reach.onPeerQueryResult(false, 1_200);
    assert.deepEqual([1_200, 1_300, 2_100, 2_200, 2_300].map(nowMs => reach.tryAcquireLocalAttempt(nowMs)), [
        true,
        false,
        false,
        true,
        false,
    ]);
});

// Guards against mistaking one dead server, to which all new connections go, for links on which no connection can be
// opened.
test("links are not doubted if new connections fail to only one of several servers", () => {
    const reach = new ServiceReachability();
    for (let atMs = 0; atMs < 2_000; atMs += 200) {
        reach.onContact(contact(0, "refused", atMs, true), servers, atMs + 1);
        reach.onContact(contact(1, "heard", atMs + 2), servers, atMs + 3);
        assert.equal(reach.state, "reached");
    }
});
