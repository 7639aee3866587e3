import { type Socket } from "node:net";

/** The HTTP/2 connection preface (RFC 9113, section 3.4). No valid HTTP/1.1 request starts with it. */
const http2Preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "latin1");

/**
 * Detects a connection's protocol from its first bytes, and puts the bytes back to be read again.
 *
 * @param socket - a new connection
 * @returns the protocol, or `closed` if the connection ended before it could be detected
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
        // A connection reset emits an error event, which would end the process if it were unhandled.
        socket.on("error", () => socket.destroy());
        socket.on("close", onClose);
        socket.on("readable", onReadable);
    });
}
