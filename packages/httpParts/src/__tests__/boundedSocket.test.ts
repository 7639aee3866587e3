import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Client } from "undici";
import { createConnector } from "../outgoing/createConnector.js";

const bodyBytes = 1_000;

/** How a server ends its connection behind a part of a response, in the turn in which it writes that part. */
const endings: Readonly<Record<"closed" | "reset", (socket: Socket) => void>> = {
    closed: socket => socket.end(),
    reset: socket => socket.resetAndDestroy(),
};

const heads: Readonly<Record<string, readonly string[]>> = {
    "without a length": ["HTTP/1.1 200 OK"],
    "without a length, to be closed": ["HTTP/1.1 200 OK", "connection: close"],
    "of HTTP/1.0": ["HTTP/1.0 200 OK"],
    "with the identity coding": ["HTTP/1.1 200 OK", "transfer-encoding: identity"],
};

const sockets = new WeakMap<Client, Socket>();

/** Starts a server that writes a head and a body, and ends the connection at once. @returns a client of it */
async function startServer(
    t: TestContext,
    head: readonly string[],
    end: (socket: Socket) => void,
): Promise<Client> {
    const response = [...head, "", "x".repeat(bodyBytes)].join("\r\n");
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.once("data", () => {
            socket.write(response);
            end(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const connect = createConnector({ timeoutMs: 1_000 });
    const client: Client = new Client(`http://127.0.0.1:${port}`, {
        connect: (options, callback) => {
            connect(options, (...[err, socket]) => {
                if (socket === null) {
                    callback(err, socket);
                    return;
                }
                sockets.set(client, socket);
                callback(err, socket);
            });
        },
    });
    t.after(async () => {
        await client.destroy();
        server.close();
    });
    return client;
}

/** @returns the number of body bytes; the error's name if the response failed */
async function read(client: Client): Promise<number | string> {
    try {
        const { body } = await client.request({ method: "GET", path: "/" });
        return (await body.arrayBuffer()).byteLength;
    }
    catch (err) {
        return (err as Error).name;
    }
}

for (const [name, head] of Object.entries(heads)) {
    // Guards against a reset that is found together with the bytes before it and is taken for the end of the response.
    test(`response ${name}, reset while its reader is busy: it fails`, async t => {
        assert.equal(await read(await startServer(t, head, endings.reset)), "ResponseResetError");
    });

    // Guards against whole responses that are lost because their end is in doubt.
    test(`response ${name}, closed while its reader is busy: it is read whole`, async t => {
        assert.equal(await read(await startServer(t, head, endings.closed)), bodyBytes);
    });
}

/** Reads a response like a caller that is slow: pauses after each part of the body. @returns the number of body bytes */
function readSlowly(client: Client, pauseMs: number): Promise<number | string> {
    return new Promise(resolve => {
        let bytes = 0;
        client.dispatch({ method: "GET", path: "/" }, {
            onRequestStart: () => undefined,
            onResponseStart: () => undefined,
            onResponseData: (controller, chunk) => {
                if (chunk.length === 0) {
                    return;
                }
                bytes += chunk.length;
                controller.pause();
                setTimeout(() => controller.resume(), pauseMs);
            },
            onResponseEnd: () => resolve(bytes),
            onResponseError: (_controller, err) => resolve(err.name),
        });
    });
}

const slowPauseMs = 20;

for (const [name, head] of Object.entries({ ...heads, "with a length, to be closed": lengthAndClose() })) {
    // Guards against a process that ends because a connection does while its reader pauses.
    test(`response ${name}, closed while its reader pauses: it is read whole`, async t => {
        assert.equal(await readSlowly(await startServer(t, head, endings.closed), slowPauseMs), bodyBytes);
    });

    test(`response ${name}, reset while its reader pauses: the process goes on`, async t => {
        const read = await readSlowly(await startServer(t, head, endings.reset), slowPauseMs);
        assert.ok(typeof read === "string" || (name.startsWith("with a length") && read === bodyBytes), String(read));
    });
}

function lengthAndClose(): readonly string[] {
    return ["HTTP/1.1 200 OK", "connection: close", `content-length: ${bodyBytes}`];
}

const longBody = Buffer.alloc(30_000_000);

for (const [name, end] of Object.entries(endings)) {
    // Guards against an early response that is lost behind a request's body that its server doesn't read.
    test(`response without a length to a body that isn't read, ${name}: it ends at once`, async t => {
        const client = await startServer(t, ["HTTP/1.1 409 Conflict"], end);
        const result = await new Promise<number | string>(resolve => {
            let bytes = 0;
            client.dispatch({ method: "POST", path: "/", body: longBody }, {
                onRequestStart: () => undefined,
                onResponseStart: () => undefined,
                onResponseData: (_controller, chunk) => {
                    bytes += chunk.length;
                },
                onResponseEnd: () => resolve(bytes),
                onResponseError: (_controller, err) => resolve(err.name),
            });
        });
        assert.ok(name === "closed" ? result === bodyBytes : typeof result === "string", String(result));
    });
}

for (const isPaused of [true, false]) {
    // Guards against a process that ends because it destroys a connection within a response.
    test(`connection that is destroyed while its reader ${isPaused ? "pauses" : "reads"}: the response fails`, async t => {
        const client = await startServer(t, ["HTTP/1.1 200 OK"], () => undefined);
        const name = await new Promise<string>(resolve => {
            client.dispatch({ method: "GET", path: "/" }, {
                onRequestStart: () => undefined,
                onResponseStart: () => undefined,
                onResponseData: controller => {
                    if (isPaused) {
                        controller.pause();
                    }
                    setImmediate(() => sockets.get(client)?.resetAndDestroy());
                },
                onResponseEnd: () => resolve("ended"),
                onResponseError: (_controller, err) => resolve(err.name),
            });
        });
        assert.equal(name, "ResponseResetError");
    });
}
