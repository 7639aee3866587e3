import { type Socket } from "node:net";

/** Every HTTP/2 connection begins with these bytes, and no HTTP/1.1 request can. */
const http2Preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "latin1");

/**
 * Finds out from a connection's first bytes which protocol it speaks, and leaves the bytes to be read again.
 *
 * @param socket - a new connection
 * @returns the protocol, or `closed` where the connection ended before it could be told
 */
export function detectProtocol(socket: Socket): Promise<"http1" | "http2" | "closed"> {
    return new Promise(resolve => {
        let head = Buffer.alloc(0);
        const finish = (protocol: "http1" | "http2" | "closed") => {
            socket.off("readable", onReadable);
            socket.off("close", onClose);
            resolve(protocol);
        };
        const onClose = () => finish("closed");
        const onReadable = () => {
            const chunk = (socket.read() ?? undefined) as Buffer | undefined;
            if (chunk === undefined) {
                return;
            }
            head = Buffer.concat([head, chunk]);
            const compared = Math.min(head.length, http2Preface.length);
            const isPreface = head.subarray(0, compared).equals(http2Preface.subarray(0, compared));
            if (isPreface && compared < http2Preface.length) {
                return;
            }
            socket.unshift(head);
            finish(isPreface ? "http2" : "http1");
        };
        // A stranger's reset comes as an error event, which ends the process where nobody listens.
        socket.on("error", () => socket.destroy());
        socket.on("close", onClose);
        socket.on("readable", onReadable);
    });
}
