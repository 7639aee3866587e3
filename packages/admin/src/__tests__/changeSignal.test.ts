import { createFailure } from "@galenaglade/errors";
import { KeyValueStore, type WatchRequest } from "@galenaglade/platform";
import { Left, Right } from "purify-ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreChangeSignal } from "../index.js";

/** Answers lists and watches as the test says, and remembers from where it was watched. */
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

test("watches on from what it has seen, also after the store was down", async () => {
    // The store goes down while an operator watches, and a change is made by the time that it is back. Were the watch
    // to start anew from the store's present revision, the watcher would hear of it only with the next refresh.
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
