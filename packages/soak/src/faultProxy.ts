import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { type LinkFault } from "./faults.js";

/** Delay of bytes on a delayed link, in milliseconds: longer than the first timeout of a load probe. */
const delayMs = 120;

interface ActiveFault {
    readonly fault: LinkFault;
    /** Source address of the affected connections; `undefined` affects all. */
    readonly from: string | undefined;
}

interface Link {
    /** Source address. */
    readonly from: string;
    readonly near: Socket;
    readonly far: Socket;
    silent: boolean;
    /** Number of delayed writes: later data must not overtake them. */
    late: number;
}

/** A TCP proxy on loopback that injects network faults, which otherwise need privileges. */
export class FaultProxy {
    readonly #server: Server;
    readonly #links = new Set<Link>();
    readonly #faults: ActiveFault[] = [];
    readonly #targetPort: number;
    #port = 0;

    private constructor(targetPort: number) {
        this.#targetPort = targetPort;
        this.#server = createServer(near => this.#accept(near));
    }

    /**
     * Starts a proxy on a free port.
     *
     * @param targetPort - port on 127.0.0.1 to which connections are forwarded
     */
    static async start(targetPort: number): Promise<FaultProxy> {
        const proxy = new FaultProxy(targetPort);
        await new Promise<void>(resolve => proxy.#server.listen(0, "127.0.0.1", resolve));
        proxy.#port = (proxy.#server.address() as AddressInfo).port;
        return proxy;
    }

    get port(): number {
        return this.#port;
    }

    /**
     * Begins a fault. If the same fault is begun several times, it lasts until it has been ended as often.
     *
     * @param fault - the fault
     * @param from - source address of the affected connections; all if missing
     */
    begin(fault: LinkFault, from?: string): void {
        this.#faults.push({ fault, from });
        for (const link of [...this.#links].filter(each => from === undefined || each.from === from)) {
            if (fault === "reset") {
                reset(link);
            }
            link.silent ||= fault === "silence";
        }
    }

    end(fault: LinkFault, from?: string): void {
        const at = this.#faults.findIndex(each => each.fault === fault && each.from === from);
        if (at >= 0) {
            this.#faults.splice(at, 1);
        }
    }

    close(): void {
        this.#server.close();
        for (const link of this.#links) {
            reset(link);
        }
    }

    #accept(near: Socket): void {
        const from = near.remoteAddress ?? "";
        if (this.#suffers(from, "reset")) {
            // The peer may reset it at the same time.
            near.on("error", () => near.destroy());
            near.resetAndDestroy();
            return;
        }
        const far = connect(this.#targetPort, "127.0.0.1");
        const link: Link = { from, near, far, silent: false, late: 0 };
        this.#links.add(link);
        for (const [source, to, cut] of [[near, far, "cutThere"], [far, near, "cutBack"]] as const) {
            source.on("data", chunk => this.#pass(link, cut, () => to.write(chunk)));
            source.on("end", () => this.#pass(link, cut, () => to.end()));
            source.on("error", () => reset(link));
            source.on("close", () => this.#forget(link));
        }
    }

    #suffers(from: string, fault: LinkFault): boolean {
        return this.#faults.some(each => each.fault === fault && (each.from === undefined || each.from === from));
    }

    #forget(link: Link): void {
        if (link.near.destroyed && link.far.destroyed) {
            this.#links.delete(link);
        }
    }

    /**
     * Forwards data. Data that arrives while its direction is cut is dropped, and the connection stays silent
     * afterwards: a byte stream can't continue after a gap.
     */
    #pass(link: Link, cut: LinkFault, write: () => void): void {
        if (this.#suffers(link.from, cut)) {
            link.silent = true;
        }
        if (link.silent) {
            return;
        }
        if (link.late === 0 && !this.#suffers(link.from, "delay")) {
            write();
            return;
        }
        link.late++;
        setTimeout(() => {
            link.late--;
            write();
        }, delayMs);
    }
}

function reset({ near, far }: Link): void {
    for (const socket of [near, far]) {
        // `resetAndDestroy` on a socket that is already shutting down would leave it open forever.
        if (socket.writableEnded) {
            socket.destroy();
            continue;
        }
        socket.resetAndDestroy();
    }
}
