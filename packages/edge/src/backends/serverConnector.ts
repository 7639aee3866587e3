import { type ServerAddress } from "@galenaglade/fleet-state";
import { createConnector } from "@galenaglade/http-parts";
import { type Socket } from "node:net";
import { connectTimeoutMs } from "../constants.js";

/** Called with the connected socket, or with the error. */
export type OnConnected = (result: Socket | Error) => void;

/** Opens sockets to backend servers. */
export abstract class ServerConnector {
    /**
     * @param address - of the server
     * @param onConnected - called exactly once
     */
    abstract connect(address: ServerAddress, onConnected: OnConnected): void;
}

/** Opens sockets directly over the host's network. */
export class DirectConnector extends ServerConnector {
    readonly #timeoutMs: number;
    readonly #localAddress: string | undefined;

    /**
     * @param timeoutMs - connect timeout
     * @param localAddress - source address of the sockets; chosen by the operating system if missing
     */
    constructor(timeoutMs = connectTimeoutMs, localAddress?: string) {
        super();
        this.#localAddress = localAddress;
        this.#timeoutMs = timeoutMs;
    }

    override connect({ host, port }: ServerAddress, onConnected: OnConnected): void {
        const connect = createConnector({ timeoutMs: this.#timeoutMs, localAddress: this.#localAddress });
        connect(
            { hostname: host, port: String(port), protocol: "http:" },
            (...[err, socket]) => onConnected(err ?? socket),
        );
    }
}
