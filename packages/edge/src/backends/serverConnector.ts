import { type ServerAddress } from "@galenaglade/fleet-state";
import { type Socket } from "node:net";
import { buildConnector } from "undici";
import { connectTimeoutMs } from "../constants.js";

/** Told of an opened socket, or why there is none. */
export type OnConnected = (opened: Socket | Error) => void;

/** Opens sockets to backend servers. */
export abstract class ServerConnector {
    /**
     * @param address - of the server
     * @param onOpened - called once
     */
    abstract connect(address: ServerAddress, onOpened: OnConnected): void;
}

/** Opens them as the host's network has it. */
export class DirectConnector extends ServerConnector {
    readonly #connect: buildConnector.connector;
    readonly #localAddress: string | undefined;

    /**
     * @param timeoutMs - time to open a socket
     * @param localAddress - from which it is opened; the system's choice where it is missing
     */
    constructor(timeoutMs = connectTimeoutMs, localAddress?: string) {
        super();
        this.#localAddress = localAddress;
        this.#connect = buildConnector({ timeout: timeoutMs });
    }

    override connect({ host, port }: ServerAddress, onOpened: OnConnected): void {
        const localAddress = this.#localAddress;
        const options = {
            hostname: host,
            port: String(port),
            protocol: "http:",
            host: `${host}:${port}`,
            ...(localAddress === undefined ? {} : { localAddress }),
        };
        this.#connect(options, (...[err, socket]) => onOpened(err ?? socket));
    }
}
