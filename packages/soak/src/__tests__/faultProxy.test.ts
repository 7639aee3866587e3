import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { FaultProxy } from "../faultProxy.js";

interface Fixture {
    readonly proxy: FaultProxy;
    /** @returns all data that the echo server has sent back */
    readonly echoed: () => string;
    /** @returns a new connection through the proxy, and a function that returns the data received on it so far */
    readonly open: () => Promise<{ readonly socket: Socket; readonly received: () => string; }>;
}

/** Starts an echo server behind a proxy. */
async function startFixture(t: TestContext): Promise<Fixture> {
    let echoed = "";
    const echo = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            socket.write(chunk, () => {
                echoed += chunk.toString();
            });
        });
    });
    await new Promise<void>(resolve => echo.listen(0, "127.0.0.1", resolve));
    const proxy = await FaultProxy.start((echo.address() as AddressInfo).port);
    t.after(() => {
        proxy.close();
        echo.close();
    });
    return {
        proxy,
        echoed: () => echoed,
        open: async () => {
            const socket = connect(proxy.port, "127.0.0.1");
            t.after(() => socket.destroy());
            let text = "";
            socket.on("data", chunk => {
                text += chunk.toString();
            });
            socket.on("error", () => undefined);
            await new Promise(resolve => socket.once("connect", resolve));
            return { socket, received: () => text };
        },
    };
}

async function eventually(holds: () => boolean): Promise<void> {
    for (let i = 0; i < 500 && !holds(); i++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.ok(holds());
}

test("without a fault, data passes in both directions", async t => {
    const { open } = await startFixture(t);
    const { socket, received } = await open();
    socket.write("hello");
    await eventually(() => received() === "hello");
});

// Data sent after the end of a delay must not overtake delayed data, which would corrupt the stream.
test("data keeps its order when a delay ends", async t => {
    const { proxy, open } = await startFixture(t);
    const { socket, received } = await open();
    proxy.begin("delay");
    socket.write("one ");
    await new Promise(resolve => setTimeout(resolve, 40));
    proxy.end("delay");
    socket.write("two");
    await eventually(() => received() === "one two");
});

test("a silenced connection stays silent, while a new one works", async t => {
    const { proxy, open } = await startFixture(t);
    const old = await open();
    old.socket.write("a");
    await eventually(() => old.received() === "a");
    proxy.begin("silence");
    proxy.end("silence");
    old.socket.write("b");
    const fresh = await open();
    fresh.socket.write("c");
    await eventually(() => fresh.received() === "c");
    assert.equal(old.received(), "a");
    assert.ok(!old.socket.destroyed);
});

test("a connection is cut in one direction", async t => {
    const { proxy, open, echoed } = await startFixture(t);
    const { socket, received } = await open();
    const other = await open();
    proxy.begin("cutBack");
    socket.write("a");
    await eventually(() => echoed() === "a");
    // The data of the echo server reaches the proxy some milliseconds later.
    await new Promise(resolve => setTimeout(resolve, 100));
    proxy.end("cutBack");
    other.socket.write("b");
    await eventually(() => other.received() === "b");
    assert.equal(received(), "");
});

test("a reset fault resets open connections, and new ones work after its end", async t => {
    const { proxy, open } = await startFixture(t);
    const { socket } = await open();
    const late = await open();
    proxy.begin("reset");
    await eventually(() => socket.destroyed && late.socket.destroyed);
    proxy.end("reset");
    const fresh = await open();
    fresh.socket.write("c");
    await eventually(() => fresh.received() === "c");
});

// Guards against a partition of one gateway that affects the others.
test("a fault of connections from one source address does not affect those from others", async t => {
    const { proxy, open } = await startFixture(t);
    proxy.begin("reset", "127.0.1.1");
    proxy.begin("cutThere", "127.0.1.2");
    const near = await open();
    near.socket.write("hello");
    await eventually(() => near.received() === "hello");
    proxy.end("cutThere", "127.0.1.2");
    proxy.begin("cutBack", "127.0.0.1");
    near.socket.write(" again");
    const later = await open();
    later.socket.write("hello");
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.deepEqual([near.received(), later.received()], ["hello", ""]);
});
