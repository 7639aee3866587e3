import { connectConfirmed, ResponseParser } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { garbledFramings, type Garbling, garbledWays, isTellable, sendGarbled } from "../garbledResponses.js";

const body = "0123456789".repeat(60);
/** How long the process of the caller stands still once the server has sent, in milliseconds. */
const busyMs = 50;

/** @returns the successes that a caller reads until the connection ends or stays silent */
async function read(t: TestContext, garbling: Garbling): Promise<readonly string[]> {
    const server = createServer((req, res) => {
        req.resume();
        sendGarbled(res, { headers: { "x-id": "r1" }, body, garbling });
        blockProcess(busyMs);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connectConfirmed((server.address() as AddressInfo).port);
    t.after(() => {
        socket.destroy();
        server.closeAllConnections();
        server.close();
    });
    const parser = new ResponseParser();
    const bodies: string[] = [];
    await new Promise<void>(resolve => {
        socket.on("data", chunk => {
            try {
                for (const res of parser.add(chunk)) {
                    bodies.push(...res.status === 200 ? [res.body] : []);
                }
            }
            catch {
                resolve();
            }
        });
        socket.on("end", () => {
            const last = parser.end();
            bodies.push(...last === undefined ? [] : [last.body]);
        });
        socket.on("error", () => resolve());
        socket.on("close", () => resolve());
        socket.setTimeout(400, () => resolve());
        socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    });
    return bodies;
}

function blockProcess(durationMs: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

for (const framing of garbledFramings) {
    for (const way of garbledWays.filter(each => isTellable({ way: each, framing }))) {
        // Guards against a stand-in whose broken responses are whole, or whose whole ones are broken.
        test(`response sent ${way}, framed by ${framing}: a caller's parser reads what the server meant`, async t => {
            const bodies = await read(t, { way, framing, share: 1, pauseMs: way.startsWith("stutter") ? 40 : 0 });
            switch (way) {
                case "whole":
                    assert.deepEqual(bodies, [body]);
                    break;
                case "thrice":
                    assert.deepEqual(bodies, [body, body, body]);
                    break;
                case "failedFirst":
                    // The success that follows the failure.
                    assert.deepEqual(bodies, [body]);
                    break;
                case "stutter":
                case "stutterHalf":
                    assert.ok(!bodies.includes(body), "the first response isn't whole");
                    break;
                default:
                    assert.deepEqual(bodies, []);
            }
        });
    }
}
