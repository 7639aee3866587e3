import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestGenerator } from "../requestGenerator.js";
import { parseResponseBytes, renderLargeResponsePath } from "../requestedWork.js";
import { findLeakedKeys } from "../leakedKeys.js";
import { secretPrefix, limitedWorkspace, planWorkspaces } from "../workspacePlan.js";

const plans = Array.from({ length: 100 }, (_, seed) => planWorkspaces(seed + 1, true)).filter(plan =>
    plan !== undefined
);

test("most seeds have workspaces whose keys are revoked and moved, and load that exceeds a rate limit", () => {
    assert.ok(plans.length > 55 && plans.length < 85, `${plans.length} of 100`);
    let [revoked, moved] = [0, 0];
    for (const { initial, changes, keys, overload } of plans) {
        const last = changes.at(-1)?.workspaces ?? [];
        for (const key of keys) {
            const holder = initial.find(workspace => workspace.keys.includes(key))?.name;
            const holders = last.filter(workspace => workspace.keys.includes(key)).map(({ name }) => name);
            assert.ok(holders.length <= 1, "a key belongs to one workspace at most");
            revoked += holder !== undefined && holders.length === 0 ? 1 : 0;
            moved += holder !== undefined && holders.length === 1 && holders[0] !== holder ? 1 : 0;
        }
        const limit = initial.find(({ name }) => name === limitedWorkspace)?.limit?.perSecond ?? 0;
        assert.ok((overload?.perSecond ?? 0) > limit && limit > 0);
    }
    assert.ok(revoked > 30 && moved > 10, `${revoked} revoked, ${moved} moved`);
    assert.deepEqual(planWorkspaces(3, true), planWorkspaces(3, true));
});

test("callers send known, unknown or no keys, and few of them the limited workspace's key", () => {
    const [plan] = plans;
    assert.ok(plan !== undefined);
    const draw = new RequestGenerator(plan, 1);
    const drawn = Array.from({ length: 2_000 }, () => draw.next(plan.initial));
    const limitedKey = plan.initial.find(({ name }) => name === limitedWorkspace)?.keys[0]?.id;
    const share = (id: string | undefined): number =>
        drawn.filter(({ credentials }) => credentials.key?.id === id).length / drawn.length;
    assert.ok(share(undefined) > 0.01 && share("unknown") > 0.01 && share(limitedKey) < 0.1);
    const bytes = drawn.map(({ responseBytes }) => responseBytes);
    assert.ok(Math.max(...bytes) > 400_000 && bytes.every(each => each <= 540_000));
    assert.deepEqual(new RequestGenerator(plan, 1).next(plan.initial), drawn[0]);
});

test("the response size is read from the path of a large response, and other paths have the default size", () => {
    assert.equal(parseResponseBytes(renderLargeResponsePath("r1", 540_000)), 540_000);
    assert.equal(parseResponseBytes("/tables/read/r1"), 200);
});

test("a key in a log is reported, without repeating it in the report", () => {
    const found = findLeakedKeys("edge-1.log", `{"detail":"no workspace holds ${secretPrefix}7-99"}`);
    assert.deepEqual([found.length, found.join("").includes(secretPrefix)], [1, false]);
    assert.deepEqual(findLeakedKeys("edge-1.log", "no workspace holds the request's key"), []);
});
