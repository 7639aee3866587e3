import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setImmediate } from "node:timers/promises";
import { ByteBudget } from "../byteBudget.js";
import { ReadAheadStream } from "../readAheadStream.js";

const chunkBytes = 65_536;
const retryMs = 100;
/** What a stream buffers by itself, and the chunk that exceeds it. */
const uncountedBytes = 16_384 + chunkBytes;

/** A request whose caller sends without a pause, as long as its connection is read. */
class EndlessCaller {
    readonly req = new IncomingMessage(new Socket());

    constructor() {
        this.req._read = () => undefined;
    }

    /** Sends what the connection takes. */
    async send(chunks: number): Promise<void> {
        for (let i = 0; i < chunks && !this.req.isPaused(); i++) {
            this.req.push(Buffer.alloc(chunkBytes));
            await setImmediate();
        }
    }
}

function open(caller: EndlessCaller, budget: ByteBudget, maxBytes: number): ReadAheadStream {
    return new ReadAheadStream(caller.req, { maxBytes, budget, retryMs });
}

async function sendFor(t: TestContext, caller: EndlessCaller, retries: number): Promise<void> {
    for (let i = 0; i < retries; i++) {
        await caller.send(50);
        t.mock.timers.tick(retryMs);
        await setImmediate();
    }
}

// Guards against callers that fill the memory with bodies that no server reads.
test("bodies that nobody reads stay within the limit of one and of all of them, however long they wait", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const budget = new ByteBudget(10 * chunkBytes);
    const callers = [new EndlessCaller(), new EndlessCaller(), new EndlessCaller()];
    const streams = callers.map(caller => open(caller, budget, 6 * chunkBytes));
    for (const caller of callers) {
        await sendFor(t, caller, 30);
    }
    const held = streams.map(({ readableLength }) => readableLength);
    assert.ok(Math.max(...held) <= 6 * chunkBytes + uncountedBytes, `one body has ${Math.max(...held)} bytes`);
    const all = held.reduce((sum, bytes) => sum + bytes, 0);
    assert.ok(all <= 10 * chunkBytes + streams.length * uncountedBytes, `all have ${all} bytes`);
    for (const stream of streams) {
        stream.destroy();
    }
    await setImmediate();
    assert.equal(budget.heldBytes, 0);
});

// Guards against a body that stops for good once the memory was short.
test("a body that exceeded the limit is read on when others have given their memory back", async t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const budget = new ByteBudget(4 * chunkBytes);
    const [first, second] = [new EndlessCaller(), new EndlessCaller()];
    const held = open(first, budget, 100 * chunkBytes);
    await sendFor(t, first, 3);
    const waiting = open(second, budget, 100 * chunkBytes);
    await sendFor(t, second, 3);
    assert.ok(second.req.isPaused());
    held.destroy();
    await setImmediate();
    t.mock.timers.tick(retryMs);
    assert.equal(second.req.isPaused(), false);
    waiting.destroy();
});
