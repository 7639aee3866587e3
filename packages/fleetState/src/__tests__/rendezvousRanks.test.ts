import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RendezvousRanks } from "../index.js";

const subjects = Array.from({ length: 40 }, (_, i) => `server-${i}`);
const everyone = Array.from({ length: 60 }, (_, i) => `gateway-${i}`);

function ranksOf(self: string, names: readonly string[]): readonly number[] {
    const ranks = new RendezvousRanks(self);
    ranks.update(names);
    return subjects.map(subject => ranks.rankOf(subject));
}

test("gateways of one roster have each rank once for every subject", () => {
    const all = everyone.map(name => ranksOf(name, everyone));
    for (const i of subjects.keys()) {
        const ranks = all.map(each => each[i] ?? -1).sort((a, b) => a - b);
        assert.deepEqual(ranks, [...everyone.keys()]);
    }
});

test("a subject's first gateways are spread over the roster", () => {
    const firsts = everyone.map(name => ranksOf(name, everyone).filter(rank => rank < 6).length);
    // 40 subjects with six each over 60 gateways: four on average.
    assert.ok(Math.max(...firsts) <= 12, firsts.join(" "));
});

test("kept up by the roster's changes, ranks are those of a gateway that never knew another roster", () => {
    fc.assert(
        fc.property(fc.array(fc.subarray(everyone), { minLength: 1, maxLength: 6 }), rosters => {
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
