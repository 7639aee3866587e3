import { type ServerAddress } from "@galenaglade/fleet-state";
import { type Socket } from "node:net";
import { type OnConnected, ServerConnector } from "../../index.js";
import { DirectConnector } from "../../backends/serverConnector.js";
import { connectTimeoutMs } from "../../constants.js";

/** Fault of a gateway's connections to all backend servers. */
export type LinkFault =
    /** No data passes, and new connections time out. */
    | "hang"
    /** Open connections are reset, and new ones are refused. */
    | "reset"
    /** Open connections work, and new ones are refused. */
    | "refuseNew"
    /** No data passes on open connections, and new ones are refused. */
    | "silentRefuseNew"
    /** No data passes to the servers, but data from them does. */
    | "oneWayOut"
    /** No data passes from the servers, but data to them does. */
    | "oneWayBack";

export const linkFaults: readonly LinkFault[] = [
    "hang",
    "reset",
    "refuseNew",
    "silentRefuseNew",
    "oneWayOut",
    "oneWayBack",
];

interface HeldSocket {
    readonly socket: Socket;
    release: () => void;
}

/** Links to backend servers that a test can fail and restore. */
export class FaultyLinks extends ServerConnector {
    readonly #direct = new DirectConnector();
    readonly #sockets = new Set<Socket>();
    readonly #held: HeldSocket[] = [];
    #fault: LinkFault | undefined;
    /** Number of sockets opened so far. */
    openedCount = 0;

    override connect(address: ServerAddress, onOpened: OnConnected): void {
        const fault = this.#fault;
        if (fault === undefined) {
            this.#direct.connect(address, opened => {
                if (!(opened instanceof Error)) {
                    this.openedCount++;
                    this.#sockets.add(opened);
                    opened.once("close", () => this.#sockets.delete(opened));
                }
                onOpened(opened);
            });
            return;
        }
        if (fault === "hang" || fault === "oneWayOut" || fault === "oneWayBack") {
            setTimeout(() => onOpened(createError("UND_ERR_CONNECT_TIMEOUT")), connectTimeoutMs);
            return;
        }
        setImmediate(() => onOpened(createError("ECONNREFUSED", "connect")));
    }

    cut(fault: LinkFault): void {
        this.#fault = fault;
        for (const socket of this.#sockets) {
            if (fault === "reset") {
                socket.destroy(createError("ECONNRESET", "read"));
            }
            else if (fault !== "refuseNew") {
                this.#held.push(hold(socket, fault !== "oneWayBack", fault !== "oneWayOut"));
            }
        }
    }

    /** Ends the fault and passes on the data that it held back. */
    restore(): void {
        this.#fault = undefined;
        for (const { release } of this.#held.splice(0)) {
            release();
        }
    }
}

function createError(code: string, syscall?: string): Error {
    return Object.assign(new Error(`${syscall ?? "connect"} ${code}`), { code, ...(syscall && { syscall }) });
}

/** Holds back data written to a socket, data read from it, or both, until it is released. */
function hold(socket: Socket, holdWrites: boolean, holdReads: boolean): HeldSocket {
    const heldWrites: (() => void)[] = [];
    const write = socket.write.bind(socket);
    const read = socket.read.bind(socket);
    if (holdWrites) {
        socket.write = (...args: unknown[]) => {
            heldWrites.push(() => void Reflect.apply(write, socket, args));
            return true;
        };
    }
    if (holdReads) {
        socket.read = () => null;
    }
    return {
        socket,
        release: () => {
            socket.write = write;
            socket.read = read;
            if (socket.destroyed) {
                return;
            }
            for (const writeHeld of heldWrites) {
                writeHeld();
            }
            socket.emit("readable");
        },
    };
}
