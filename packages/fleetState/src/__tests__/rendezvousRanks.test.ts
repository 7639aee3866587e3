import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RendezvousRanks } from "../index.js";

const subjects = Array.from({ length: 40 }, (_, i) => `server-${i}`);
const allGateways = Array.from({ length: 60 }, (_, i) => `gateway-${i}`);

function ranksOf(self: string, names: readonly string[]): readonly number[] {
    const ranks = new RendezvousRanks(self);
    ranks.update(names);
    return subjects.map(subject => ranks.rankOf(subject));
}

test("for every subject each rank is taken by exactly one gateway of the roster", () => {
    const all = allGateways.map(name => ranksOf(name, allGateways));
    for (const i of subjects.keys()) {
        const ranks = all.map(each => each[i] ?? -1).sort((a, b) => a - b);
        assert.deepEqual(ranks, [...allGateways.keys()]);
    }
});

test("the gateways with the first ranks are spread over the roster", () => {
    const firsts = allGateways.map(name => ranksOf(name, allGateways).filter(rank => rank < 6).length);
    // Six ranks for each of 40 subjects over 60 gateways: four per gateway on average.
    assert.ok(Math.max(...firsts) <= 12, firsts.join(" "));
});

test("ranks updated incrementally equal those computed from the latest roster", () => {
    fc.assert(
        fc.property(fc.array(fc.subarray(allGateways), { minLength: 1, maxLength: 6 }), rosters => {
            const ranks = new RendezvousRanks("gateway-0");
            for (const roster of rosters) {
                ranks.update(roster);
                subjects.forEach(subject => ranks.rankOf(subject));
            }
            const last = rosters.at(-1) ?? [];
            assert.deepEqual(subjects.map(subject => ranks.rankOf(subject)), ranksOf("gateway-0", last));
        }),
        { seed: 1, numRuns: 60 },
    );
});
