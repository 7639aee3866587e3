import { createFailure } from "@galenaglade/errors";
import { KeyValueStore, type WatchRequest } from "@galenaglade/platform";
import { Left, Right } from "purify-ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreChangeSignal } from "../index.js";

/** Answers lists and watches as set by the test, and records the start revisions of watches. */
class FakeWatchStore extends KeyValueStore {
    readonly watchedAfter: number[] = [];
    revision = 7;
    isDown = false;

    override list() {
        return Promise.resolve(this.isDown ? Left(down) : Right({ revision: this.revision, entries: [] }));
    }
    override watch({ afterRevision }: WatchRequest) {
        this.watchedAfter.push(afterRevision);
        const events = { revision: this.revision, changed: [], deleted: [] };
        return Promise.resolve(this.isDown ? Left(down) : Right(events));
    }
    override get = () => Promise.resolve(Left(unused));
    override compareAndSwap = () => Promise.resolve(Left(unused));
    override grantLease = () => Promise.resolve(Left(unused));
    override renewLease = () => Promise.resolve(Left(unused));
    override revokeLease = () => Promise.resolve(Left(unused));
}

const down = createFailure("storeUnavailable", "down");
const unused = createFailure("internal", "not used here");

test("a watch resumes from the last seen revision after a store outage", async () => {
    // The store is unavailable during a watch, and a change is made by the time it recovers. If the watch restarted
    // from the store's current revision, it would miss that change until the next refresh.
    const store = new FakeWatchStore();
    const signal = new StoreChangeSignal(store, "configuration/head");
    const { signal: never } = new AbortController();
    await signal.wait(never);
    store.revision = 8;
    await signal.wait(never);
    store.isDown = true;
    await signal.wait(AbortSignal.abort());
    store.isDown = false;
    store.revision = 9;
    await signal.wait(never);
    await signal.wait(never);
    assert.deepEqual(store.watchedAfter, [7, 8, 8, 9]);
});
