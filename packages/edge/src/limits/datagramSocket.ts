import { type ListenAddress } from "@galenaglade/http-parts";
import { createSocket, type Socket } from "node:dgram";

/** Handles a datagram from another gateway. */
export type DatagramHandler = (text: string, from: ListenAddress) => void;

/** Sends and receives datagrams between gateways; abstract so that tests can replace the network. */
export abstract class DatagramSocket {
    /** Starts to receive datagrams. @returns once the socket is bound */
    abstract open(onDatagram: DatagramHandler): Promise<void>;
    /** Sends without waiting; a datagram that can't be sent counts as lost in the network. */
    abstract send(text: string, to: ListenAddress): void;
    abstract close(): void;
}

/** A UDP socket on one address. */
export class UdpSocket extends DatagramSocket {
    readonly #address: ListenAddress;
    readonly #onError: (error: string) => void;
    #socket: Socket | undefined;

    /**
     * @param address - IPv4 address and port to bind to
     * @param onError - called with the message of an error of the socket itself
     */
    constructor(address: ListenAddress, onError: (error: string) => void) {
        super();
        this.#address = address;
        this.#onError = onError;
    }

    override open(onDatagram: DatagramHandler): Promise<void> {
        const socket = createSocket("udp4");
        this.#socket = socket;
        socket.on("message", (bytes, { address, port }) => onDatagram(bytes.toString(), { address, port }));
        return new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(this.#address.port, this.#address.address, () => {
                socket.off("error", reject);
                socket.on("error", err => this.#onError(err.message));
                resolve();
            });
        });
    }

    override send(text: string, { address, port }: ListenAddress): void {
        this.#socket?.send(text, port, address, () => undefined);
    }

    override close(): void {
        this.#socket?.close();
        this.#socket = undefined;
    }
}
