import { FleetView, type MirroredChanges } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { test } from "node:test";
import { RelayServer, RelayFeed } from "../state/relayServer.js";
import { WatchCheck } from "../state/watchCheck.js";
import { parseRelayResponse } from "../state/relayClient.js";
import { StoreContact } from "../state/storeContact.js";
import { RevisionReader } from "../state/revisionReader.js";
import { createMetrics } from "@galenaglade/telemetry";
import { createRandomSource } from "@galenaglade/routing";
import { EdgeLog } from "../telemetry/edgeLog.js";
import { EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { MemoryStore } from "./support/memoryStore.js";

class LargeFeed extends RelayFeed {
    override readonly isStoreReachable = true;
    override readonly ageMs = 0;
    override readonly currentAgeMs = 0;
    override readonly heardForMs = undefined;
    override isReceivingLargeChange = false;
    changes: MirroredChanges = { revision: 1, changed: [], deleted: [] };

    override onPeerRequest(): void {
        // This gateway already watches the store.
    }

    override changesSince(): MirroredChanges {
        return this.changes;
    }
}

function sendRequest(
    relay: RelayServer,
    waitMs: number,
): { readonly status: () => number; readonly body: () => string; } {
    let status = 0;
    let body = "";
    const res = {
        once: () => undefined,
        writeHead: (code: number) => {
            status = code;
        },
        end: (text: string) => {
            body = text;
        },
    };
    const url = `/store-changes?after=0&wait=${waitMs}`;
    relay.handle({ url } as unknown as IncomingMessage, res as unknown as ServerResponse);
    return { status: () => status, body: () => body };
}

// Guards against dozens of copies of a large configuration that are sent one after the other over one slow link.
test("a large change is not relayed, and waiting peers are sent to the store as soon as it begins to arrive", () => {
    const feed = new LargeFeed();
    const relay = new RelayServer(feed);
    const waiting = sendRequest(relay, 600);
    assert.equal(waiting.status(), 0);
    feed.isReceivingLargeChange = true;
    relay.onFeedChange();
    assert.equal(parseRelayResponse(waiting.status(), waiting.body()).swap().unsafeCoerce().kind, "bodyTooLarge");
    feed.isReceivingLargeChange = false;
    feed.changes = {
        revision: 2,
        changed: [{ key: "a", value: "x".repeat(30_000), modifiedRevision: 2 }],
        deleted: [],
    };
    const later = sendRequest(relay, 600);
    assert.equal(parseRelayResponse(later.status(), later.body()).swap().unsafeCoerce().kind, "bodyTooLarge");
    feed.changes = {
        revision: 2,
        changed: [{ key: "a", value: "x".repeat(20_000), modifiedRevision: 2 }],
        deleted: [],
    };
    const small = sendRequest(relay, 600);
    assert.equal(parseRelayResponse(small.status(), small.body()).unsafeCoerce().changed.length, 1);
});

// Guards against a watch that is repeatedly abandoned as dead while its large response is arriving.
test("a watch whose response is arriving is not treated as dead", async () => {
    const view = new FleetView();
    const clock = { monotonicMs: () => performance.now(), epochMs: () => Date.now() };
    const write = (): void => undefined;
    const parts = {
        view,
        clock,
        random: createRandomSource(1),
        log: new EdgeLog({ debug: write, info: write, warn: write, error: write }, () => clock.monotonicMs()),
        metrics: new EdgeMetrics(createMetrics("test")),
    };
    const store = new MemoryStore();
    store.put("a", "1");
    let sentAtMs: number | undefined = clock.monotonicMs() - 100;
    const check = new WatchCheck({
        ...parts,
        revisionReader: new RevisionReader(store, ""),
        contact: new StoreContact(parts),
        state: () => ({ afterRevision: 0, sentAtMs }),
    });
    assert.equal((await check.run())?.["kind"], "behind");
    const running = check.run();
    sentAtMs = undefined;
    assert.equal(await running, undefined);
});
