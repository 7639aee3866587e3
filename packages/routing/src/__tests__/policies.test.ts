import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
    type Candidate,
    createRandomSource,
    createRoutingPolicy,
    createServerId,
    type RoutingPolicy,
    routingPolicyNames,
} from "../index.js";

function createCandidate(name: string, more: Partial<Candidate> = {}): Candidate {
    return {
        serverId: `tables/${name}`,
        server: { name, availabilityZone: "north", address: "127.0.0.1", port: 1, slots: 3, connections: 200 },
        ownInFlight: 0,
        othersInFlight: undefined,
        lastReported: undefined,
        latencyMs: undefined,
        local: true,
        ...more,
    };
}

function createPolicy(name: string): RoutingPolicy {
    const policy = createRoutingPolicy(name);
    assert.ok(policy !== undefined, name);
    return policy;
}

const candidate = fc.record({
    ownInFlight: fc.nat(3),
    othersInFlight: fc.option(fc.nat(6), { nil: undefined }),
    lastReported: fc.option(fc.record({ othersInFlight: fc.nat(6), ageMs: fc.nat(10_000) }), { nil: undefined }),
    latencyMs: fc.option(fc.double({ min: 0, max: 100, noNaN: true }), { nil: undefined }),
    local: fc.boolean(),
});

test("every policy chooses a candidate, and the same one for the same seed", () => {
    fc.assert(fc.property(
        fc.constantFrom(...routingPolicyNames),
        fc.array(candidate, { minLength: 1, maxLength: 12 }),
        fc.integer(),
        (name, parts, seed) => {
            const candidates = parts.map((part, i) => createCandidate(`s${i}`, part));
            const choose = (): number => createPolicy(name).choose(candidates, createRandomSource(seed));
            const chosen = choose();
            assert.ok(chosen >= 0 && chosen < candidates.length);
            assert.equal(choose(), chosen);
        },
    ));
});

test("freeSlotFirst prefers a free local server, then a free server in another zone, then the least occupied", () => {
    const policy = createPolicy("freeSlotFirst");
    const random = createRandomSource(7);
    const full = createCandidate("full", { ownInFlight: 1, othersInFlight: 2 });
    const distant = createCandidate("distant", { local: false });
    const local = createCandidate("local", { ownInFlight: 2 });
    const fuller = createCandidate("fuller", { ownInFlight: 3, othersInFlight: 2 });
    assert.equal(policy.choose([full, distant, local], random), 2);
    assert.equal(policy.choose([full, distant], random), 1);
    assert.equal(policy.choose([fuller, full], random), 1);
});

test("hotCold prefers the fastest server that is not hot, or the least occupied if all are hot", () => {
    const policy = createPolicy("hotCold");
    const random = createRandomSource(3);
    const slow = createCandidate("slow", { latencyMs: 40 });
    const fast = createCandidate("fast", { latencyMs: 4 });
    const hot = createCandidate("hot", { ownInFlight: 3, latencyMs: 1 });
    assert.equal(policy.choose([slow, fast, hot], random), 1);
    const hotter = createCandidate("hotter", { ownInFlight: 3, othersInFlight: 3 });
    assert.equal(policy.choose([hotter, hot], random), 1);
});

test("roundRobin visits every server when one disappears in between", () => {
    const policy = createPolicy("roundRobin");
    const random = createRandomSource(1);
    const [a, b, c] = ["a", "b", "c"].map(name => createCandidate(name)) as [Candidate, Candidate, Candidate];
    const visited = [[a, b, c], [a, b, c], [a, c], [a, b, c]].map(candidates => {
        return candidates[policy.choose(candidates, random)]?.server.name;
    });
    assert.deepEqual(visited, ["a", "b", "c", "a"]);
});

test("roundRobin keeps separate turns for each service", () => {
    // Two services share a gateway and its policy, and their requests alternate. If the policy remembers only the last
    // server's name, it restarts with the first server of a service at each change. That server then gets nearly all
    // requests, and a third of them are refused at 75% of the total capacity.
    const policy = createPolicy("roundRobin");
    const random = createRandomSource(1);
    const describe = (service: string) => (name: string) =>
        createCandidate(name, { serverId: createServerId(service, name) });
    const tables = ["table-1", "table-2", "table-3"].map(describe("tables"));
    const desks = ["desk-1", "desk-2", "desk-3"].map(describe("desks"));
    const visited = [tables, desks, tables, desks, tables, desks].map(candidates => {
        return candidates[policy.choose(candidates, random)]?.server.name;
    });
    assert.deepEqual(visited, ["table-1", "desk-1", "table-2", "desk-2", "table-3", "desk-3"]);
});

// One server reported long ago that it is idle; the others just reported load. If the old report kept its weight, every
// gateway would send to that server until it is the slowest; if it were dropped, the server would look just as idle.
test("an old load report decays to the average of the service", () => {
    const policy = createPolicy("expectedInFlight");
    const random = createRandomSource(5);
    const old = createCandidate("old", { ownInFlight: 1, lastReported: { othersInFlight: 0, ageMs: 5_000 } });
    const busy = createCandidate("busy", { lastReported: { othersInFlight: 2, ageMs: 1 } });
    const fresh = createCandidate("fresh", { ownInFlight: 1, lastReported: { othersInFlight: 0, ageMs: 1 } });
    assert.equal(policy.choose([old, busy, fresh], random), 2);
    const usual = createCandidate("usual", { lastReported: { othersInFlight: 1, ageMs: 5_000 } });
    assert.equal(policy.choose([old, usual], random), 1, "without usable reports, own requests decide");
});

test("the local availability zone only breaks ties", () => {
    const policy = createPolicy("expectedInFlight");
    const random = createRandomSource(6);
    const distant = createCandidate("distant", { local: false });
    const local = createCandidate("local");
    const busyLocal = createCandidate("busyLocal", { ownInFlight: 1 });
    assert.equal(policy.choose([distant, local], random), 1);
    assert.equal(policy.choose([distant, busyLocal], random), 0);
});
