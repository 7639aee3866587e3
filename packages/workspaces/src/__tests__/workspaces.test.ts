import assert from "node:assert/strict";
import { test } from "node:test";
import { authenticate, findKeyChange, type Workspace, WorkspaceDirectory } from "../index.js";

const north: Workspace = { name: "north", keys: ["k-north-1", "k-north-2"], priority: 0 };
const south: Workspace = { name: "south", keys: ["k-south"] };
const directory = new WorkspaceDirectory([north, south, { name: "keyless", keys: [] }]);

test("a key is resolved to the workspace that it belongs to", () => {
    const admission = authenticate({ type: "given", key: "k-north-2" }, directory, false);
    assert.deepEqual(admission, { type: "known", workspace: north, key: "k-north-2" });
});

// Guards against requests that are executed without a configured key.
test("requests without a known key are rejected with the reason", () => {
    assert.equal(authenticate({ type: "none" }, directory, false), "noKey");
    assert.equal(authenticate({ type: "malformed" }, directory, false), "malformedKey");
    assert.equal(authenticate({ type: "given", key: "k-other" }, directory, false), "unknownKey");
    assert.equal(authenticate({ type: "given", key: "" }, directory, false), "unknownKey");
    assert.equal(authenticate({ type: "given", key: "K-SOUTH" }, directory, false), "unknownKey");
});

test("an open route accepts anonymous callers and still identifies callers with a key", () => {
    assert.deepEqual(authenticate({ type: "none" }, directory, true), { type: "anonymous" });
    assert.deepEqual(authenticate({ type: "given", key: "k-other" }, directory, true), { type: "anonymous" });
    assert.equal(authenticate({ type: "malformed" }, directory, true) === "malformedKey", false);
    assert.deepEqual(authenticate({ type: "given", key: "k-south" }, directory, true), {
        type: "known",
        workspace: south,
        key: "k-south",
    });
});

test("no key is required if the configuration has no workspaces", () => {
    assert.deepEqual(authenticate({ type: "none" }, undefined, false), { type: "unchecked" });
});

// Guards against waiting or retried requests that are sent with a key that has been revoked or moved since.
test("a key that was revoked or moved to another workspace no longer admits its request", () => {
    const admission = authenticate({ type: "given", key: "k-north-1" }, directory, false);
    assert.ok(typeof admission !== "string");
    assert.equal(findKeyChange(admission, directory), undefined);
    assert.equal(findKeyChange(admission, undefined), undefined);
    assert.equal(findKeyChange(admission, new WorkspaceDirectory([{ ...north, keys: ["k-north-2"] }])), "revoked");
    assert.equal(findKeyChange(admission, new WorkspaceDirectory([{ name: "east", keys: ["k-north-1"] }])), "moved");
    assert.equal(findKeyChange({ type: "anonymous" }, directory), undefined);
    assert.equal(findKeyChange({ type: "unchecked" }, undefined), undefined);
    assert.equal(findKeyChange({ type: "unchecked" }, directory), "moved");
});

// Guards against a key shared by two workspaces, whose requests could not be attributed to either.
test("faults name the invalid workspaces, but not their keys", () => {
    assert.equal(WorkspaceDirectory.findFault([north, south]), undefined);
    assert.equal(WorkspaceDirectory.findFault([{ name: "twice", keys: ["a", "a"] }]), undefined);
    assert.equal(
        WorkspaceDirectory.findFault([north, { name: "east", keys: ["k-north-1"] }]),
        "workspaces north and east hold the same key",
    );
    assert.equal(WorkspaceDirectory.findFault([south, south]), "workspace south is defined twice");
});
