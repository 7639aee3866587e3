import { type ServerAddress } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { type Dispatcher } from "undici";
import { ServerConnection } from "../backends/serverConnection.js";
import { DirectConnector, type OnConnected, ServerConnector } from "../backends/serverConnector.js";

const bodyBytes = 1_000;
/** How long a slow reader waits before it reads on, in milliseconds. */
const readPauseMs = 50;

/** Opens sockets whose reset is found right after they are open. */
class ResetConnector extends ServerConnector {
    readonly #direct = new DirectConnector();

    override connect(address: ServerAddress, onConnected: OnConnected): void {
        this.#direct.connect(address, opened => {
            onConnected(opened);
            if (!(opened instanceof Error)) {
                opened.destroy(Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" }));
            }
        });
    }
}

/** Starts a server that handles each of its sockets like this. @returns a connection to it */
async function startServer(
    t: TestContext,
    accept: (socket: Socket) => void,
    connector: ServerConnector = new DirectConnector(),
): Promise<ServerConnection> {
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        accept(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const connection = new ServerConnection({ host: "127.0.0.1", port }, connector);
    t.after(() => {
        connection.destroy();
        server.close();
    });
    return connection;
}

/** Sends a request, and reads the response slowly. @returns the number of body bytes, or how the request failed */
function read(connection: ServerConnection): Promise<number | Error> {
    return new Promise(resolve => {
        let bytes = 0;
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: () => undefined,
            onResponseStart: () => undefined,
            onResponseData: (controller, chunk) => {
                // The HTTP client reports no bytes each time that it resumes such a body.
                if (chunk.length === 0) {
                    return;
                }
                bytes += chunk.length;
                controller.pause();
                setTimeout(() => controller.resume(), readPauseMs);
            },
            onResponseEnd: () => resolve(bytes),
            onResponseError: (_controller, err) => resolve(err),
        };
        connection.dispatch({ method: "GET", path: "/" }, handler);
    });
}

// Guards against a gateway that ends because a response ends with its connection while its caller reads slowly.
test("a response that ends with its connection while its reader pauses is read whole", async t => {
    const response = `HTTP/1.1 200 OK\r\n\r\n${"x".repeat(bodyBytes)}`;
    const connection = await startServer(t, socket => socket.once("data", () => socket.end(response)));
    assert.equal(await read(connection), bodyBytes);
});

// Guards against a gateway that ends because a server resets a connection as soon as it is open.
test("a connection that its server resets as soon as it is open fails the request", async t => {
    const connection = await startServer(t, socket => socket.resume(), new ResetConnector());
    assert.ok(await read(connection) instanceof Error);
});
