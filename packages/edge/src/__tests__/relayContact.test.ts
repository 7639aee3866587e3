import { type ServerAddress } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { HttpRelayClient } from "../state/relayClient.js";
import { RelayFeed, RelayServer } from "../state/relayServer.js";

class TestFeed extends RelayFeed {
    override readonly isStoreReachable = false;
    override readonly ageMs = 0;
    override readonly currentAgeMs = undefined;
    override readonly isReceivingLargeChange = false;
    override heardForMs: number | undefined = 1_234;
    questions = 0;

    override onPeerRequest(): void {
        this.questions++;
    }

    override changesSince(): undefined {
        return undefined;
    }
}

async function serve(t: TestContext, feed: RelayFeed): Promise<ServerAddress> {
    const relay = new RelayServer(feed);
    const server = createServer((req, res) => relay.handle(req, res));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
}

// Guards against a contact query that makes its recipient watch the store: after an outage, the whole fleet would do so
// at once.
test("a contact query returns the duration of contact with the store without reading the store", async t => {
    const feed = new TestFeed();
    const contact = await new HttpRelayClient().fetchStoreContactMs(await serve(t, feed));
    assert.equal(contact.extract(), 1_234);
    assert.equal(feed.questions, 0);
});

test("a contact query fails if the gateway has no contact with the store", async t => {
    const feed = new TestFeed();
    feed.heardForMs = undefined;
    const contact = await new HttpRelayClient().fetchStoreContactMs(await serve(t, feed));
    assert.ok(contact.isLeft());
});

test("a contact query fails if the gateway is unreachable", async () => {
    const contact = await new HttpRelayClient().fetchStoreContactMs({ host: "127.0.0.1", port: 1 });
    assert.ok(contact.isLeft());
});
