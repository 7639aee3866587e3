import fc from "fast-check";
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Server, Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { resetConnection, resetReasonOf } from "../index.js";

/** More than the operating system takes at once. */
const largeBytes = 8_000_000;
const runs = 300;
const closesWithinMs = 5_000;

/** What happens to a connection before it is reset. */
const steps = [
    "write a little",
    "write much",
    "end",
    "wait for finish",
    "turn",
    "peer ends",
    "peer resets",
    "peer stops reading",
] as const;
type Step = typeof steps[number];

let server: Server;
let port = 0;
const accepted: Socket[] = [];

before(async () => {
    server = createServer({ allowHalfOpen: true }, socket => accepted.push(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    ({ port } = server.address() as AddressInfo);
});

after(() => server.close());

/** @returns both ends of a connection; `socket` is the one that the server has accepted */
async function openConnection(): Promise<{ readonly socket: Socket; readonly peer: Socket; }> {
    const peer = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    peer.on("error", () => undefined);
    await new Promise<void>(resolve => peer.once("connect", resolve));
    for (;;) {
        const socket = accepted.pop();
        if (socket !== undefined) {
            return { socket, peer };
        }
        await sleep(1);
    }
}

async function take(step: Step, socket: Socket, peer: Socket): Promise<void> {
    switch (step) {
        case "write a little":
        case "write much":
            if (socket.writable) {
                socket.write(Buffer.alloc(step === "write much" ? largeBytes : 100));
            }
            break;
        case "end":
            socket.end();
            break;
        case "wait for finish":
            await Promise.race([sleep(20), new Promise(resolve => socket.once("finish", resolve))]);
            break;
        case "turn":
            await new Promise(resolve => setImmediate(resolve));
            break;
        case "peer ends":
            peer.end();
            break;
        case "peer resets":
            resetConnection(peer, "fault");
            break;
        case "peer stops reading":
            peer.pause();
    }
}

/** Takes the steps and resets the connection. @returns what went wrong */
async function play(order: readonly Step[]): Promise<string | undefined> {
    const { socket, peer } = await openConnection();
    const errors: Error[] = [];
    socket.on("error", err => errors.push(err));
    socket.resume();
    peer.resume();
    const closed = new Promise<boolean>(resolve => socket.once("close", () => resolve(true)));
    for (const step of order) {
        await take(step, socket, peer);
    }
    const isUnended = !socket.destroyed && !socket.writableEnded;
    const peerEnd = new Promise<"reset" | "end">(resolve => {
        peer.once("error", () => resolve("reset"));
        peer.once("end", () => resolve("end"));
    });
    resetConnection(socket, "truncated");
    // A second one has no effect.
    resetConnection(socket, "stopping");
    const hasClosed = await Promise.race([closed, sleep(closesWithinMs, false, { ref: false })]);
    const refused = errors.find(err => "syscall" in err && err.syscall === "reset");
    try {
        if (!hasClosed || refused !== undefined) {
            return `it isn't closed (${refused?.message ?? "no error"})`;
        }
        // Bytes that wait to be read hide a reset behind them.
        const canTell = isUnended && !order.some(step => step.startsWith("write") || step === "peer resets");
        return canTell && await peerEnd !== "reset" ? "its peer reads a normal end" : undefined;
    }
    finally {
        peer.destroy();
    }
}

// Guards against a reset while the end is being sent: the socket would stay open for good.
test("a connection is closed by a reset after any order of writes, ends and the peer's end", async () => {
    const examples: [Step[]][] = [
        [["end"]],
        [["peer ends", "turn", "end"]],
        [["write a little", "end", "turn"]],
        [["write much", "end", "peer stops reading"]],
        [["write much", "end", "turn", "turn", "peer ends"]],
        [["end", "wait for finish"]],
        [["end", "wait for finish", "peer ends", "turn"]],
    ];
    await fc.assert(
        fc.asyncProperty(fc.array(fc.constantFrom(...steps), { maxLength: 8 }), async order => {
            assert.equal(await play(order), undefined);
        }),
        { numRuns: runs, examples },
    );
});

test("a connection whose output isn't sent yet is reset, although its end was asked for", async () => {
    const { socket, peer } = await openConnection();
    socket.on("error", () => undefined);
    peer.pause();
    socket.end(Buffer.alloc(largeBytes));
    const closed = new Promise<void>(resolve => socket.once("close", resolve));
    resetConnection(socket, "truncated");
    await closed;
    let received = 0;
    peer.on("data", chunk => received += chunk.length).resume();
    await new Promise<void>(resolve => peer.once("end", resolve).once("error", () => resolve()));
    assert.ok(received < largeBytes, `${received} bytes`);
    peer.destroy();
});

test("sockets without a connection are destroyed, and closed ones left alone", async () => {
    const unused = new Socket();
    resetConnection(unused, "fault");
    assert.equal(unused.destroyed, true);
    const connecting = connect(port, "127.0.0.1");
    const closed = new Promise<void>(resolve => connecting.once("close", () => resolve()));
    resetConnection(connecting, "fault");
    await closed;
    const { socket, peer } = await openConnection();
    peer.destroy();
    socket.destroy();
    await new Promise<void>(resolve => socket.once("close", () => resolve()));
    resetConnection(socket, "truncated");
    assert.equal(resetReasonOf(socket), undefined);
});

test("the first reason for a reset is kept", async () => {
    const { socket, peer } = await openConnection();
    resetConnection(socket, "callerLeft");
    resetConnection(socket, "truncated");
    assert.equal(resetReasonOf(socket), "callerLeft");
    peer.destroy();
});
