import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type MirroredEntry, StoreMirror } from "../index.js";

function entry(key: string, modifiedRevision: number): MirroredEntry {
    return { key, value: `${key}${modifiedRevision}`, modifiedRevision };
}

test("changes and deletions after a revision are returned", () => {
    const mirror = new StoreMirror();
    mirror.onFullRead(5, [entry("a", 2), entry("b", 5)]);
    mirror.onChanges({ revision: 7, changed: [entry("c", 6)], deleted: ["a"] });
    assert.deepEqual(mirror.changesSince(5), { revision: 7, changed: [entry("c", 6)], deleted: ["a"] });
    assert.deepEqual(mirror.changesSince(7), { revision: 7, changed: [], deleted: [] });
});

// Guards against followers that keep sending to a server that left: the store has compacted its history meanwhile, so
// the gateway that reads it learns of the deletion only from a full read, and must pass it on.
test("an entry that a later full read lacks is returned as deleted", () => {
    const mirror = new StoreMirror();
    mirror.onFullRead(5, [entry("a", 2), entry("b", 5)]);
    mirror.onFullRead(9, [entry("b", 5)]);
    assert.deepEqual(mirror.changesSince(5)?.deleted, ["a"]);
});

test("changes from before the first full read are unknown", () => {
    const mirror = new StoreMirror();
    assert.equal(mirror.changesSince(0), undefined);
    mirror.onFullRead(5, [entry("a", 2)]);
    assert.equal(mirror.changesSince(4), undefined);
    assert.notEqual(mirror.changesSince(5), undefined);
});

// Guards against followers that diverge from the store: they follow one mirror or another, from any revision.
test("a follower of a mirror ends up with the contents of the store from any known revision", () => {
    const steps = fc.array(
        fc.record({ key: fc.constantFrom("a", "b", "c", "d"), deleted: fc.boolean(), batch: fc.boolean() }),
        { minLength: 1, maxLength: 30 },
    );
    fc.assert(
        fc.property(steps, fc.nat({ max: 30 }), (writes, from) => {
            const mirror = new StoreMirror();
            mirror.onFullRead(0, []);
            const stored = new Map<string, MirroredEntry>();
            let followed = new Map<string, MirroredEntry>();
            let revision = 0;
            let changed = new Map<string, MirroredEntry>();
            let deleted = new Set<string>();
            for (const { key, deleted: deletes, batch } of writes) {
                revision++;
                changed.delete(key);
                deleted.delete(key);
                if (deletes) {
                    stored.delete(key);
                    deleted.add(key);
                }
                else {
                    stored.set(key, entry(key, revision));
                    changed.set(key, entry(key, revision));
                }
                if (!batch) {
                    mirror.onChanges({ revision, changed: [...changed.values()], deleted: [...deleted] });
                    changed = new Map();
                    deleted = new Set();
                }
                if (revision === from && !batch) {
                    followed = new Map(stored);
                }
            }
            mirror.onChanges({ revision, changed: [...changed.values()], deleted: [...deleted] });
            const start = followed.size > 0 ? from : 0;
            const result = mirror.changesSince(start);
            assert.ok(result);
            for (const key of result.deleted) {
                followed.delete(key);
            }
            for (const each of result.changed) {
                followed.set(each.key, each);
            }
            assert.deepEqual([...followed.entries()].sort(), [...stored.entries()].sort());
        }),
        { seed: 1, numRuns: 500 },
    );
});
